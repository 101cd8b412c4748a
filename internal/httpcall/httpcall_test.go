package httpcall

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/standin/memnet"
)

var limits = Limits{ReplyWait: time.Second, IdleTimeout: 700 * time.Millisecond, Timeout: 15 * time.Second, MaxBytes: 2 << 20}

// call calls a handler over a link of 1 Mbit/s and returns how long it took, in a synctest
// bubble.
func call(handler http.HandlerFunc) (status, bytes int, took time.Duration, err error) {
	network := memnet.New(time.Millisecond)
	here, there := network.Host(1e6), network.Host(0)
	listener := there.Listen(80)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with ErrServerClosed
	client := &http.Client{Transport: &http.Transport{DialContext: here.DialContext}}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+there.Address(80).String()+"/", nil)
	if err != nil {
		return 0, 0, 0, err
	}
	start := time.Now()
	reply, err := Do(client, req, limits)
	took = time.Since(start)
	_ = server.Close()
	network.Close()
	client.CloseIdleConnections()
	time.Sleep(time.Second) // the handler ends
	return reply.Status, len(reply.Body), took, err
}

// In chunks of any size, with a length or without: as long as bytes come, the call goes on.
func TestALargeReplyTakesItsTime(t *testing.T) {
	for name, length := range map[string]string{"chunked": "", "with a length": "1000000"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				status, bytes, took, err := call(func(w http.ResponseWriter, _ *http.Request) {
					if length != "" {
						w.Header().Set("Content-Length", length)
					}
					_, _ = w.Write(make([]byte, 1_000_000))
				})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(status).To(Equal(200))
				g.Expect(bytes).To(Equal(1_000_000))
				g.Expect(took).To(BeNumerically("~", 8*time.Second, 500*time.Millisecond))
			})
		})
	}
}

func TestSilenceEndsACall(t *testing.T) {
	for name, c := range map[string]struct {
		before int // bytes
		within time.Duration
	}{"before the reply": {0, limits.ReplyWait + limits.IdleTimeout}, "in the middle of it": {1000, limits.IdleTimeout}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				_, bytes, took, err := call(func(w http.ResponseWriter, r *http.Request) {
					if c.before > 0 {
						_, _ = w.Write(make([]byte, c.before))
						_ = http.NewResponseController(w).Flush()
					}
					<-r.Context().Done()
				})
				g.Expect(err).To(MatchError(context.Canceled))
				g.Expect(bytes).To(Equal(c.before))
				g.Expect(took).To(BeNumerically("~", c.within, 50*time.Millisecond))
			})
		})
	}
}

func TestAReplyIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, _, took, err := call(func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil { // for ever, slowly
				_, _ = io.WriteString(w, "x")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(100 * time.Millisecond)
			}
		})
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		g.Expect(took).To(Equal(limits.ReplyWait + limits.Timeout))
	})
	g := NewWithT(t)
	limits := limits
	limits.MaxBytes = 10
	req, err := http.NewRequest(http.MethodGet, "http://10.0.0.1/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = Do(&http.Client{Transport: fixed("12345678901")}, req, limits)
	g.Expect(fault.Is(err, fault.TooLarge)).To(BeTrue())
}

// fixed answers every call with its text.
type fixed string

func (f fixed) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(string(f))), Request: r}, nil
}
