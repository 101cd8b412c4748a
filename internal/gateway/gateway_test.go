package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/gateway"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/retrybudget"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
	"github.com/merlinpost/merlinpost/platform"
)

var _ = Describe("a gateway", func() {
	It("responds with 503 and Retry-After until it has a configuration", func() {
		r := newHarness(1)
		Expect(r.gateway.Ready()).To(BeFalse())
		a := r.post("/once/", "a")
		Expect(a.status).To(Equal(503))
		Expect(strconv.ParseFloat(a.header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
		Expect(r.runs()).To(BeEmpty())
	})

	It("forwards requests and relays responses unmodified, apart from hop-by-hop and reserved headers", func() {
		r := startHarness(1)
		req := r.request(context.Background(), "/once/a%2Fb?x=1&y=%20", "a", "bytes")
		req.Header.Set("X-Custom", "kept")
		req.Header.Set("X-Tenant", "forged")
		req.Header.Set("X-Hold", "forged")
		req.Header.Set("Connection", "X-Hop")
		req.Header.Set("X-Hop", "dropped")
		a := r.send(req)
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(Equal(worker.ResponseBody("a")))
		Expect(a.header.Get("X-Response-Seal")).To(Equal("i-0.a"))
		run := r.runs()[0]
		Expect(run.Target).To(Equal("/once/a%2Fb?x=1&y=%20"))
		Expect(run.Body).To(Equal("bytes"))
		Expect(run.Header.Get("X-Custom")).To(Equal("kept"))
		Expect(run.Header.Get("X-Tenant")).To(Equal("team"))
		Expect(run.Header).NotTo(HaveKey("X-Hold"))
		Expect(run.Header).NotTo(HaveKey("X-Hop"))
		Expect(run.Header).NotTo(HaveKey("Api-Key"))
		Expect(strconv.Atoi(run.Header.Get("X-Request-Deadline"))).To(BeNumerically("~", 5000, 500))
	})

	DescribeTable("rejects invalid requests without sending them to a worker", func(change func(*http.Request), status int) {
		r := startHarness(1)
		req := r.request(context.Background(), "/once/", "a", "x")
		change(req)
		Expect(r.send(req).status).To(Equal(status))
		Expect(r.runs()).To(BeEmpty())
		Expect(r.post("/once/", "b").status).To(Equal(200))
	},
		Entry("an unknown host", func(q *http.Request) { q.Host = "b.example" }, 404),
		Entry("an unknown path", func(q *http.Request) { q.URL.Path = "/other/" }, 404),
		Entry("an unknown key", func(q *http.Request) { q.Header.Set("Api-Key", "old") }, 401),
		Entry("no key", func(q *http.Request) { q.Header.Del("Api-Key") }, 401),
		Entry("a malformed header", func(q *http.Request) { q.Header.Set("X-Request-Deadline", "soon") }, 400),
		Entry("a body that is too large", func(q *http.Request) {
			q.Body, q.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), 1001
		}, 413),
		Entry("a chunked body that is too large", func(q *http.Request) {
			q.Body, q.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), -1
		}, 413),
		Entry("headers that are too large", func(q *http.Request) { q.Header.Set("X-Long", strings.Repeat("x", 2000)) }, 431),
	)

	It("serves requests without a key on anonymous routes", func() {
		r := startHarness(1)
		req := r.request(context.Background(), "/open/", "a", "")
		req.Header.Del("Api-Key")
		Expect(r.send(req).status).To(Equal(200))
		Expect(r.runs()[0].Header).NotTo(HaveKey("X-Tenant"))
	})

	It("closes a connection on which a second request may have been smuggled", func() {
		r := startHarness(1)
		br := r.raw("POST /once/ HTTP/1.1\r\nHost: a.example\r\nApi-Key: key\r\nX-Attempt-Id: a\r\n" +
			"Content-Length: 70\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
			"POST /once/ HTTP/1.1\r\nHost: a.example\r\nApi-Key: key\r\nX-Attempt-Id: smuggled\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(br, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		_, err = br.ReadByte()
		Expect(err).To(HaveOccurred())
		for _, run := range r.runs() {
			Expect(run.ID).To(Equal("a"))
		}
	})

	Describe("when a worker refuses", func() {
		It("sends the request to another worker", func() {
			r := startHarness(2)
			r.workers[0].SetBehaviour(worker.Behaviour{Reject: true})
			for i := range 6 {
				Expect(r.post("/once/", fmt.Sprint("a", i)).status).To(Equal(200))
			}
			Expect(r.runs()).To(HaveLen(6))
		})

		It("responds with 429 and Retry-After if all workers refuse", func() {
			r := startHarness(2)
			for _, w := range r.workers {
				w.SetBehaviour(worker.Behaviour{Reject: true})
			}
			a := r.post("/once/", "a")
			Expect(a.status).To(Equal(429))
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(r.runs()).To(BeEmpty())
		})

		It("keeps repeated sends within the retry budget", func() {
			r := startHarnessWith(retrybudget.Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 5}, 2)
			r.workers[0].SetBehaviour(worker.Behaviour{Reject: true})
			r.workers[1].SetBehaviour(worker.Behaviour{Reject: true})
			arrivals := 0
			for i := range 50 {
				_ = r.post("/once/", fmt.Sprint("a", i))
			}
			for _, w := range r.workers {
				arrivals += w.RequestCount()
			}
			Expect(arrivals).To(BeNumerically("<=", 50+12))
			Expect(arrivals).To(BeNumerically(">", 50))
		})

		It("logs the retry budget's decision with the failed send", func() {
			r := startHarnessWith(retrybudget.Settings{Ratio: 2, Window: 10 * time.Second, Slack: 20}, 2)
			for _, w := range r.workers {
				w.SetBehaviour(worker.Behaviour{Reject: true})
			}
			for i := range 5 {
				r.post("/again/x", fmt.Sprint("refused-", i))
			}
			Expect(r.log.String()).To(MatchRegexp(`"request failed","id":"refused-0".*"repeat":\{"granted":false,"taken":0,"allowed":0\.6\d?(,"waited":\d+)?\}`))
			Expect(r.log.String()).To(MatchRegexp(`"request failed","id":"refused-1".*"repeat":\{"granted":true,"taken":0,"allowed":1\.2\d?(,"waited":\d+)?\}`))
		})

		It("skips a server whose address is used by another start", func() {
			r := startHarness(1)
			r.servers.Replace([]registry.Server{
				{ID: "i-old", Service: "s", Address: r.workers[0].Address()},
				{ID: "i-0", Service: "s", Address: r.workers[0].Address()},
			}, time.Now(), time.Time{})
			for i := range 4 {
				Expect(r.post("/once/", fmt.Sprint("a", i)).status).To(Equal(200))
			}
			Expect(r.runs()).To(HaveLen(4))
		})
	})

	Describe("when a worker gives no answer", func() {
		It("does not retry a non-idempotent request", func() {
			r := startHarness(2)
			r.setNextBehaviour(worker.Behaviour{DropConnection: true})
			a := r.post("/once/", "a")
			Expect(a.status).To(Equal(502))
			Expect(r.runs()).To(HaveLen(1))
		})

		It("retries an idempotent request", func() {
			r := startHarness(2)
			r.workers[0].SetBehaviour(worker.Behaviour{DropConnection: true})
			for i := range 4 {
				Expect(r.post("/again/", fmt.Sprint("a", i)).status).To(Equal(200))
			}
		})

		It("does not report a request as not run if a previous server may have run it", func() {
			for i := range 12 {
				r := startHarness(2)
				r.workers[0].SetBehaviour(worker.Behaviour{DropConnection: true})
				r.workers[1].SetBehaviour(worker.Behaviour{Reject: true})
				a := r.post("/again/", fmt.Sprint("a", i))
				if len(r.runs()) > 0 {
					Expect(a.status).To(Equal(502))
				}
			}
		})

		It("responds with 504 after the route's timeout", func() {
			r := startHarness(1)
			r.workers[0].SetBehaviour(worker.Behaviour{Hang: true})
			Expect(r.post("/short/", "a").status).To(Equal(504))
			Eventually(r.workers[0].DisconnectCount).Should(Equal(1))
		})

		It("responds with 503 and Retry-After if the only worker refuses connections", func() {
			r := startHarness(1)
			r.workers[0].Close()
			a := r.post("/once/", "a")
			Expect(a.status).To(Equal(503))
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		})
	})

	It("does not relay a successful response without a seal", func() {
		r := startHarness(1)
		r.workers[0].SetBehaviour(worker.Behaviour{OmitSeal: true, AbortAfterEvents: -1})
		Expect(r.post("/once/", "a").status).To(Equal(502))
	})

	It("relays an error response of a worker unmodified", func() {
		r := startHarness(1)
		r.workers[0].SetBehaviour(worker.Behaviour{Status: 500, AbortAfterEvents: -1})
		a := r.post("/once/", "a")
		Expect(a.status).To(Equal(500))
		Expect(a.body).To(Equal(worker.ResponseBody("a")))
		Expect(a.header.Get("X-Response-Seal")).To(Equal("i-0.a"))
	})

	Describe("relaying a stream", func() {
		events := worker.Behaviour{Events: 5, AbortAfterEvents: -1}

		It("relays all events", func() {
			r := startHarness(1)
			r.workers[0].SetBehaviour(events)
			a := r.post("/stream/", "a")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(worker.StreamBody("a", 5)))
			Expect(a.header.Get("Content-Type")).To(Equal("text/event-stream"))
		})

		It("resumes at another worker if the route is resumable", func() {
			r := startHarness(2)
			for _, w := range r.workers {
				w.SetBehaviour(events)
			}
			r.workers[0].QueueBehaviours(worker.Behaviour{Events: 5, AbortAfterEvents: 2})
			for i := 0; r.workers[0].RequestCount() == 0; i++ {
				id := fmt.Sprint("a", i)
				a := r.post("/resume/", id)
				Expect(a.err).NotTo(HaveOccurred())
				Expect(a.body).To(Equal(worker.StreamBody(id, 5)))
			}
			resumed := r.workers[1].Executions()[len(r.workers[1].Executions())-1]
			Expect(resumed.LastEventID).To(Equal(2))
			Expect(resumed.Header.Get("X-Expect-Instance")).To(Equal("i-1"))
		})

		It("breaks the connection if the resumed stream breaks too", func() {
			r := startHarness(2)
			for _, w := range r.workers {
				w.SetBehaviour(worker.Behaviour{Events: 5, AbortAfterEvents: 2})
			}
			a := r.post("/resume/", "a")
			Expect(a.err).To(HaveOccurred())
			Expect(a.body).To(Equal(worker.StreamBody("a", 2)))
			Expect(r.runs()).To(HaveLen(2))
		})

		It("breaks the connection if a stream that is not resumable breaks", func() {
			r := startHarness(2)
			r.setNextBehaviour(worker.Behaviour{Events: 5, AbortAfterEvents: 2})
			a := r.post("/stream/", "a")
			Expect(a.err).To(HaveOccurred())
			Expect(a.body).To(Equal(worker.StreamBody("a", 2)))
			Expect(r.runs()).To(HaveLen(1))
		})

		It("responds with 502 if the stream breaks before its first event", func() {
			r := startHarness(2)
			r.setNextBehaviour(worker.Behaviour{Events: 5, AbortAfterEvents: 0})
			Expect(r.post("/stream/", "a").status).To(Equal(502))
			Expect(r.runs()).To(HaveLen(1))
		})

		It("cancels the request at the worker if the caller disconnects", func() {
			r := startHarness(1)
			r.workers[0].SetBehaviour(worker.Behaviour{Events: 1000, AbortAfterEvents: -1, EventInterval: 5 * time.Millisecond})
			ctx, cancel := context.WithCancel(context.Background())
			resp, err := r.client.Do(r.request(ctx, "/stream/", "a", ""))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(resp.Body, make([]byte, len(worker.Event("a", 1))))
			Expect(err).NotTo(HaveOccurred())
			cancel()
			Eventually(r.workers[0].DisconnectCount).Should(Equal(1))
		})
	})

	It("cancels a request at the worker if the caller disconnects before the response", func() {
		r := startHarness(1)
		r.workers[0].SetBehaviour(worker.Behaviour{Hang: true})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			Eventually(r.runs).Should(HaveLen(1))
			cancel()
		}()
		Expect(r.send(r.request(ctx, "/again/", "a", "")).err).To(HaveOccurred())
		Eventually(r.workers[0].DisconnectCount).Should(Equal(1))
		Expect(r.runs()).To(HaveLen(1))
	})
})

// panickingDialect is a dialect that panics on each request.
type panickingDialect struct{ platform.Dialect }

func (panickingDialect) ParseRequest(http.Header) (gateway.RequestInfo, error) { panic("test panic") }

var _ = Describe("a handler that panics", func() {
	It("closes the connection and logs the panic", func() {
		var log logBuffer
		g := gateway.New(gateway.Settings{}, panickingDialect{}, registry.New(), slog.New(slog.NewJSONHandler(&log, nil)))
		g.SetTable(table(), time.Now())
		server := httptest.NewUnstartedServer(g)
		server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
		server.Start()
		DeferCleanup(server.Close)
		_, err := http.Post(server.URL, "text/plain", strings.NewReader("x"))
		Expect(err).To(HaveOccurred())
		Expect(log.String()).To(ContainSubstring(`"request handler failed","failure":"test panic"`))
	})
})
