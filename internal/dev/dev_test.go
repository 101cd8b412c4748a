package dev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/standin/engine"
)

func startDeployment(t testing.TB, opts Options) *Deployment {
	opts.Callers, opts.Operators = ephemeralAddress, ephemeralAddress
	d, err := Start(context.Background(), opts, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// post sends a request to the caller API and returns the status and the body of the
// response. header alternates names and values.
func post(d *Deployment, path, class, body string, header ...string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.CallersAddress()+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+TeamKey)
	req.Header.Set("Merlinpost-Class", class)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// The deployment must serve models and services, run a call that is repeated with the
// same idempotency key only once, and shut down gracefully.
func TestDeploymentServesModelsAndServices(t *testing.T) {
	g := NewWithT(t)
	d := startDeployment(t, Options{})
	status, text, err := post(d, "/v1/completions", "helpline", `{"model":"advisory","prompt":"p","max_tokens":7}`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status).To(Equal(200), text)
	g.Expect(text).To(ContainSubstring(strings.TrimSpace(engine.Answer("p", 0, 7))))
	for range 2 {
		status, text, err = post(d, "/v1/services/receipts", "alert", "crate", "Idempotency-Key", "k")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(status).To(Equal(200), text)
		g.Expect(text).To(ContainSubstring(`"run":1`))
	}
	stop := make(chan struct{})
	close(stop)
	g.Expect(d.Wait(context.Background(), stop)).To(Succeed())
}

// BenchmarkRelay streams responses of 318 tokens to 64 concurrent callers through
// the router, the agents and the engine stand-ins in one process. It reports tokens
// per second and the CPU time of the whole process, callers included, per token.
func BenchmarkRelay(b *testing.B) {
	const callers, tokens = 64, 318
	d := startDeployment(b, Options{Engines: 2, Slots: callers, Step: 2 * time.Millisecond})
	cpuTime := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	started, startCPU, relayed := time.Now(), cpuTime(), 0
	for b.Loop() {
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				body := fmt.Sprintf(`{"model":"advisory","stream":true,"min_tokens":%d,"max_tokens":%d,"prompt":"caller %d round %d"}`, tokens, tokens, i, relayed)
				if status, text, err := post(d, "/v1/completions", "helpline", body); err != nil || status != 200 || !bytes.HasSuffix([]byte(text), []byte("[DONE]\n\n")) {
					b.Error(status, err)
				}
			})
		}
		wg.Wait()
		relayed += callers * tokens
	}
	b.ReportMetric(float64(relayed)/time.Since(started).Seconds(), "tokens/s")
	b.ReportMetric(float64((cpuTime()-startCPU).Microseconds())/float64(relayed), "cpu-us/token")
}
