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

// call makes a call to a handler over a link of 1 Mbit/s and returns its result and duration. It
// must be called in a synctest bubble.
func call(handler http.HandlerFunc) (status, bytes int, took time.Duration, err error) {
	network := memnet.New(time.Millisecond)
	clientHost, serverHost := network.Host(1e6), network.Host(0)
	listener := serverHost.Listen(80)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with ErrServerClosed
	client := &http.Client{Transport: &http.Transport{DialContext: clientHost.DialContext}}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+serverHost.Address(80).String()+"/", nil)
	if err != nil {
		return 0, 0, 0, err
	}
	start := time.Now()
	reply, err := Do(client, req, limits)
	took = time.Since(start)
	_ = server.Close()
	network.Close()
	client.CloseIdleConnections()
	time.Sleep(time.Second) // until the handler has ended
	return reply.Status, len(reply.Body), took, err
}

// A call continues as long as data arrives, with a chunked body or with a Content-Length.
func TestLargeReplyOverSlowLinkSucceeds(t *testing.T) {
	for name, length := range map[string]string{"chunked": "", "with Content-Length": "1000000"} {
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

func TestIdleTimeoutEndsCall(t *testing.T) {
	for name, c := range map[string]struct {
		sent   int // bytes that are sent before the server stops
		within time.Duration
	}{"before the reply": {0, limits.ReplyWait + limits.IdleTimeout}, "in the middle of the reply": {1000, limits.IdleTimeout}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				_, bytes, took, err := call(func(w http.ResponseWriter, r *http.Request) {
					if c.sent > 0 {
						_, _ = w.Write(make([]byte, c.sent))
						_ = http.NewResponseController(w).Flush()
					}
					<-r.Context().Done()
				})
				g.Expect(err).To(MatchError(context.Canceled))
				g.Expect(bytes).To(Equal(c.sent))
				g.Expect(took).To(BeNumerically("~", c.within, 50*time.Millisecond))
			})
		})
	}
}

func TestDurationAndSizeAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, _, took, err := call(func(w http.ResponseWriter, r *http.Request) {
			for r.Context().Err() == nil { // an endless reply
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
	_, err = Do(&http.Client{Transport: fixedResponse("12345678901")}, req, limits)
	g.Expect(fault.Is(err, fault.TooLarge)).To(BeTrue())
}

// fixedResponse is an http.RoundTripper that answers every request with the same body.
type fixedResponse string

func (f fixedResponse) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(string(f))), Request: r}, nil
}
