package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// fetchWeights downloads a target's weights from the weight store and discards them,
// so that loading takes as long as the download.
func fetchWeights(ctx context.Context, store, target string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+store+"/v1/weights/"+url.PathEscape(target), nil)
	if err != nil {
		return fmt.Errorf("download weights: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("download weights: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("download weights: unexpected status %d", resp.StatusCode)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("download weights: %w", err)
	}
	return nil
}
