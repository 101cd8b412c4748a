package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// fetchWeights reads a target's weights from the weight store and drops them.
func fetchWeights(ctx context.Context, store, target string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+store+"/v1/weights/"+url.PathEscape(target), nil)
	if err != nil {
		return fmt.Errorf("weights: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("weights: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weights: status %d", resp.StatusCode)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("weights: %w", err)
	}
	return nil
}
