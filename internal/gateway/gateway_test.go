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
		h := newHarness(1)
		Expect(h.gateway.Ready()).To(BeFalse())
		resp := h.post("/once/", "a")
		Expect(resp.status).To(Equal(503))
		Expect(strconv.ParseFloat(resp.header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
		Expect(h.runs()).To(BeEmpty())
	})

	It("forwards requests and relays responses unmodified, apart from hop-by-hop and reserved headers", func() {
		h := startHarness(1)
		req := h.request(context.Background(), "/once/a%2Fb?x=1&y=%20", "a", "bytes")
		req.Header.Set("X-Custom", "kept")
		req.Header.Set("X-Tenant", "forged")
		req.Header.Set("X-Hold", "forged")
		req.Header.Set("Connection", "X-Hop")
		req.Header.Set("X-Hop", "dropped")
		resp := h.send(req)
		Expect(resp.err).NotTo(HaveOccurred())
		Expect(resp.status).To(Equal(200))
		Expect(resp.body).To(Equal(worker.ResponseBody("a")))
		Expect(resp.header.Get("X-Response-Seal")).To(Equal("i-0.a"))
		run := h.runs()[0]
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
		h := startHarness(1)
		req := h.request(context.Background(), "/once/", "a", "x")
		change(req)
		Expect(h.send(req).status).To(Equal(status))
		Expect(h.runs()).To(BeEmpty())
		Expect(h.post("/once/", "b").status).To(Equal(200))
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
		h := startHarness(1)
		req := h.request(context.Background(), "/open/", "a", "")
		req.Header.Del("Api-Key")
		Expect(h.send(req).status).To(Equal(200))
		Expect(h.runs()[0].Header).NotTo(HaveKey("X-Tenant"))
	})

	It("closes a connection on which a second request may have been smuggled", func() {
		h := startHarness(1)
		br := h.sendRaw("POST /once/ HTTP/1.1\r\nHost: a.example\r\nApi-Key: key\r\nX-Attempt-Id: a\r\n" +
			"Content-Length: 70\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
			"POST /once/ HTTP/1.1\r\nHost: a.example\r\nApi-Key: key\r\nX-Attempt-Id: smuggled\r\nContent-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(br, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		_, err = br.ReadByte()
		Expect(err).To(HaveOccurred())
		for _, run := range h.runs() {
			Expect(run.ID).To(Equal("a"))
		}
	})

	Describe("when a worker refuses a request", func() {
		It("sends the request to another worker", func() {
			h := startHarness(2)
			h.workers[0].SetBehaviour(worker.Behaviour{Reject: true})
			for i := range 6 {
				Expect(h.post("/once/", fmt.Sprint("a", i)).status).To(Equal(200))
			}
			Expect(h.runs()).To(HaveLen(6))
		})

		It("responds with 429 and Retry-After if all workers refuse", func() {
			h := startHarness(2)
			for _, w := range h.workers {
				w.SetBehaviour(worker.Behaviour{Reject: true})
			}
			resp := h.post("/once/", "a")
			Expect(resp.status).To(Equal(429))
			Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(h.runs()).To(BeEmpty())
		})

		It("keeps retries within the retry budget", func() {
			h := startHarnessWith(retrybudget.Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 5}, 2)
			h.workers[0].SetBehaviour(worker.Behaviour{Reject: true})
			h.workers[1].SetBehaviour(worker.Behaviour{Reject: true})
			arrivals := 0
			for i := range 50 {
				_ = h.post("/once/", fmt.Sprint("a", i))
			}
			for _, w := range h.workers {
				arrivals += w.RequestCount()
			}
			Expect(arrivals).To(BeNumerically("<=", 50+12))
			Expect(arrivals).To(BeNumerically(">", 50))
		})

		It("logs the retry budget's decision with the failed send", func() {
			h := startHarnessWith(retrybudget.Settings{Ratio: 2, Window: 10 * time.Second, Slack: 20}, 2)
			for _, w := range h.workers {
				w.SetBehaviour(worker.Behaviour{Reject: true})
			}
			for i := range 5 {
				h.post("/again/x", fmt.Sprint("refused-", i))
			}
			Expect(h.log.String()).To(MatchRegexp(`"request failed","id":"refused-0".*"repeat":\{"granted":false,"taken":0,"allowed":0\.6\d?(,"waited":\d+)?\}`))
			Expect(h.log.String()).To(MatchRegexp(`"request failed","id":"refused-1".*"repeat":\{"granted":true,"taken":0,"allowed":1\.2\d?(,"waited":\d+)?\}`))
		})

		It("skips a server whose address is used by another server instance", func() {
			h := startHarness(1)
			h.servers.Replace([]registry.Server{
				{ID: "i-old", Service: "s", Address: h.workers[0].Address()},
				{ID: "i-0", Service: "s", Address: h.workers[0].Address()},
			}, time.Now(), time.Time{})
			for i := range 4 {
				Expect(h.post("/once/", fmt.Sprint("a", i)).status).To(Equal(200))
			}
			Expect(h.runs()).To(HaveLen(4))
		})
	})

	Describe("when a worker does not respond", func() {
		It("does not retry a non-idempotent request", func() {
			h := startHarness(2)
			h.setNextBehaviour(worker.Behaviour{DropConnection: true})
			resp := h.post("/once/", "a")
			Expect(resp.status).To(Equal(502))
			Expect(h.runs()).To(HaveLen(1))
		})

		It("retries an idempotent request", func() {
			h := startHarness(2)
			h.workers[0].SetBehaviour(worker.Behaviour{DropConnection: true})
			for i := range 4 {
				Expect(h.post("/again/", fmt.Sprint("a", i)).status).To(Equal(200))
			}
		})

		It("does not report a request as not run if a previous server may have run it", func() {
			for i := range 12 {
				h := startHarness(2)
				h.workers[0].SetBehaviour(worker.Behaviour{DropConnection: true})
				h.workers[1].SetBehaviour(worker.Behaviour{Reject: true})
				resp := h.post("/again/", fmt.Sprint("a", i))
				if len(h.runs()) > 0 {
					Expect(resp.status).To(Equal(502))
				}
			}
		})

		It("responds with 504 after the route's timeout", func() {
			h := startHarness(1)
			h.workers[0].SetBehaviour(worker.Behaviour{Hang: true})
			Expect(h.post("/short/", "a").status).To(Equal(504))
			Eventually(h.workers[0].DisconnectCount).Should(Equal(1))
		})

		It("responds with 503 and Retry-After if the only worker refuses connections", func() {
			h := startHarness(1)
			h.workers[0].Close()
			resp := h.post("/once/", "a")
			Expect(resp.status).To(Equal(503))
			Expect(resp.header.Get("Retry-After")).NotTo(BeEmpty())
		})
	})

	It("does not relay a successful response without a seal", func() {
		h := startHarness(1)
		h.workers[0].SetBehaviour(worker.Behaviour{OmitSeal: true, AbortAfterEvents: -1})
		Expect(h.post("/once/", "a").status).To(Equal(502))
	})

	It("relays an error response of a worker unmodified", func() {
		h := startHarness(1)
		h.workers[0].SetBehaviour(worker.Behaviour{Status: 500, AbortAfterEvents: -1})
		resp := h.post("/once/", "a")
		Expect(resp.status).To(Equal(500))
		Expect(resp.body).To(Equal(worker.ResponseBody("a")))
		Expect(resp.header.Get("X-Response-Seal")).To(Equal("i-0.a"))
	})

	Describe("relaying a stream", func() {
		events := worker.Behaviour{Events: 5, AbortAfterEvents: -1}

		It("relays all events", func() {
			h := startHarness(1)
			h.workers[0].SetBehaviour(events)
			resp := h.post("/stream/", "a")
			Expect(resp.err).NotTo(HaveOccurred())
			Expect(resp.body).To(Equal(worker.StreamBody("a", 5)))
			Expect(resp.header.Get("Content-Type")).To(Equal("text/event-stream"))
		})

		It("resumes at another worker if the route is resumable", func() {
			h := startHarness(2)
			for _, w := range h.workers {
				w.SetBehaviour(events)
			}
			h.workers[0].QueueBehaviours(worker.Behaviour{Events: 5, AbortAfterEvents: 2})
			for i := 0; h.workers[0].RequestCount() == 0; i++ {
				id := fmt.Sprint("a", i)
				resp := h.post("/resume/", id)
				Expect(resp.err).NotTo(HaveOccurred())
				Expect(resp.body).To(Equal(worker.StreamBody(id, 5)))
			}
			resumed := h.workers[1].Executions()[len(h.workers[1].Executions())-1]
			Expect(resumed.LastEventID).To(Equal(2))
			Expect(resumed.Header.Get("X-Expect-Instance")).To(Equal("i-1"))
		})

		It("aborts the connection if the resumed stream also breaks", func() {
			h := startHarness(2)
			for _, w := range h.workers {
				w.SetBehaviour(worker.Behaviour{Events: 5, AbortAfterEvents: 2})
			}
			resp := h.post("/resume/", "a")
			Expect(resp.err).To(HaveOccurred())
			Expect(resp.body).To(Equal(worker.StreamBody("a", 2)))
			Expect(h.runs()).To(HaveLen(2))
		})

		It("aborts the connection if a stream that is not resumable breaks", func() {
			h := startHarness(2)
			h.setNextBehaviour(worker.Behaviour{Events: 5, AbortAfterEvents: 2})
			resp := h.post("/stream/", "a")
			Expect(resp.err).To(HaveOccurred())
			Expect(resp.body).To(Equal(worker.StreamBody("a", 2)))
			Expect(h.runs()).To(HaveLen(1))
		})

		It("responds with 502 if the stream breaks before its first event", func() {
			h := startHarness(2)
			h.setNextBehaviour(worker.Behaviour{Events: 5, AbortAfterEvents: 0})
			Expect(h.post("/stream/", "a").status).To(Equal(502))
			Expect(h.runs()).To(HaveLen(1))
		})

		It("cancels the request at the worker if the caller disconnects", func() {
			h := startHarness(1)
			h.workers[0].SetBehaviour(worker.Behaviour{Events: 1000, AbortAfterEvents: -1, EventInterval: 5 * time.Millisecond})
			ctx, cancel := context.WithCancel(context.Background())
			resp, err := h.client.Do(h.request(ctx, "/stream/", "a", ""))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(resp.Body, make([]byte, len(worker.Event("a", 1))))
			Expect(err).NotTo(HaveOccurred())
			cancel()
			Eventually(h.workers[0].DisconnectCount).Should(Equal(1))
		})
	})

	It("cancels a request at the worker if the caller disconnects before the response", func() {
		h := startHarness(1)
		h.workers[0].SetBehaviour(worker.Behaviour{Hang: true})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			Eventually(h.runs).Should(HaveLen(1))
			cancel()
		}()
		Expect(h.send(h.request(ctx, "/again/", "a", "")).err).To(HaveOccurred())
		Eventually(h.workers[0].DisconnectCount).Should(Equal(1))
		Expect(h.runs()).To(HaveLen(1))
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
		Expect(log.String()).To(ContainSubstring(`"request handler panicked","failure":"test panic"`))
	})
})
