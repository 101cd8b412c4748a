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

// timing holds the time to the first token and between tokens of a streamed request.
type timing struct {
	first time.Duration
	gaps  []time.Duration
}

// stream sends a streaming chat request and records when each token arrives.
func stream(c *http.Client, url, model string, tokens int) (timing, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"min_tokens":%d,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, model, tokens, tokens)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return timing{}, err
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set("Merlinpost-Class", "helpline")
	var out timing
	begin := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return timing{}, err
	}
	defer resp.Body.Close()
	last := begin
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), `"content":"w`) {
			continue
		}
		now := time.Now()
		if out.first == 0 {
			out.first = now.Sub(begin)
		} else {
			out.gaps = append(out.gaps, now.Sub(last))
		}
		last = now
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return out, err
}

// BenchmarkAddedLatency calls an engine directly and through a router and an
// agent in turn, and reports the latencies of both and their ratios.
func BenchmarkAddedLatency(b *testing.B) {
	c := newCluster(b.TempDir(), clusterSize{Routers: 1, Engines: 1, Step: "3ms", Links: productionLinks})
	defer c.close()
	if err := c.start(); err != nil {
		b.Fatal(err)
	}
	paths := []struct{ name, url, model string }{
		{"direct", "http://" + c.address("engine-0") + ":7100", "advisory@base"},
		{"routed", "http://" + c.callerAddress("router-0"), "advisory"},
	}
	first, gaps := make([][]time.Duration, len(paths)), make([][]time.Duration, len(paths))
	for b.Loop() {
		for i, w := range paths {
			t, err := stream(c.http, w.url, w.model, 20)
			if err != nil {
				b.Fatal(err)
			}
			first[i] = append(first[i], t.first)
			gaps[i] = append(gaps[i], t.gaps...)
		}
	}
	report := func(name string, of [][]time.Duration) {
		for _, q := range []float64{0.5, 0.99} {
			var ms [2]float64
			for i, w := range paths {
				sort.Slice(of[i], func(x, y int) bool { return of[i][x] < of[i][y] })
				ms[i] = float64(of[i][int(q*float64(len(of[i])-1))].Microseconds()) / 1000
				b.ReportMetric(ms[i], fmt.Sprintf("%s-%s-p%.0f-ms", w.name, name, 100*q))
			}
			b.ReportMetric(ms[1]/ms[0], fmt.Sprintf("ratio-%s-p%.0f", name, 100*q))
		}
	}
	report("first", first)
	report("gap", gaps)
	b.ReportMetric(0, "ns/op")
}
