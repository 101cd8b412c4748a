package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"
)

// streamTiming holds the time to the first token of a streamed response and the intervals between its
// tokens.
type streamTiming struct {
	firstToken     time.Duration
	tokenIntervals []time.Duration
}

// measureStream sends a streaming chat request and measures when the tokens of the response arrive.
func measureStream(c *http.Client, url, model string, tokens int) (streamTiming, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"min_tokens":%d,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, model, tokens, tokens)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return streamTiming{}, err
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set("Merlinpost-Class", "helpline")
	var out streamTiming
	begin := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return streamTiming{}, err
	}
	defer resp.Body.Close()
	last := begin
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), `"content":"w`) {
			continue
		}
		now := time.Now()
		if out.firstToken == 0 {
			out.firstToken = now.Sub(begin)
		} else {
			out.tokenIntervals = append(out.tokenIntervals, now.Sub(last))
		}
		last = now
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return out, err
}

// BenchmarkAddedLatency sends requests alternately to an engine directly and through a router and an
// agent. It reports the latency percentiles of both paths and the ratios between them.
func BenchmarkAddedLatency(b *testing.B) {
	c := newCluster(b.TempDir(), clusterConfig{Routers: 1, Engines: 1, TokenTime: "3ms", LinkSettings: productionLinkSettings})
	defer c.close()
	if err := c.start(); err != nil {
		b.Fatal(err)
	}
	paths := []struct{ name, url, model string }{
		{"direct", "http://" + c.address("engine-0") + ":7100", "advisory@base"},
		{"routed", "http://" + c.callerAddress("router-0"), "advisory"},
	}
	firstTokens, intervals := make([][]time.Duration, len(paths)), make([][]time.Duration, len(paths))
	for b.Loop() {
		for i, path := range paths {
			t, err := measureStream(c.http, path.url, path.model, 20)
			if err != nil {
				b.Fatal(err)
			}
			firstTokens[i] = append(firstTokens[i], t.firstToken)
			intervals[i] = append(intervals[i], t.tokenIntervals...)
		}
	}
	report := func(name string, latencies [][]time.Duration) {
		for _, q := range []float64{0.5, 0.99} {
			var ms [2]float64
			for i, path := range paths {
				sort.Slice(latencies[i], func(x, y int) bool { return latencies[i][x] < latencies[i][y] })
				ms[i] = float64(latencies[i][int(q*float64(len(latencies[i])-1))].Microseconds()) / 1000
				b.ReportMetric(ms[i], fmt.Sprintf("%s-%s-p%.0f-ms", path.name, name, 100*q))
			}
			b.ReportMetric(ms[1]/ms[0], fmt.Sprintf("ratio-%s-p%.0f", name, 100*q))
		}
	}
	report("first", firstTokens)
	report("gap", intervals)
	b.ReportMetric(0, "ns/op")
}
