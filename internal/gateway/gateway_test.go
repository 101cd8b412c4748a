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
	It("answers 503 with when to come back until it knows a configuration", func() {
		r := newRig(1)
		Expect(r.gateway.Ready()).To(BeFalse())
		a := r.post("/once/", "a")
		Expect(a.status).To(Equal(503))
		Expect(strconv.ParseFloat(a.header.Get("Retry-After"), 64)).To(BeNumerically(">", 0))
		Expect(r.runs()).To(BeEmpty())
	})

	It("passes request and answer on byte for byte", func() {
		r := started(1)
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

	DescribeTable("refuses what it can't serve without asking a worker", func(change func(*http.Request), status int) {
		r := started(1)
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
		Entry("a header that can't be read", func(q *http.Request) { q.Header.Set("X-Request-Deadline", "soon") }, 400),
		Entry("a body that is too long", func(q *http.Request) {
			q.Body, q.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), 1001
		}, 413),
		Entry("a body in chunks that is too long", func(q *http.Request) {
			q.Body, q.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), -1
		}, 413),
		Entry("a head that is too long", func(q *http.Request) { q.Header.Set("X-Long", strings.Repeat("x", 2000)) }, 431),
	)

	It("serves a route without a key where the route allows it", func() {
		r := started(1)
		req := r.request(context.Background(), "/open/", "a", "")
		req.Header.Del("Api-Key")
		Expect(r.send(req).status).To(Equal(200))
		Expect(r.runs()[0].Header).NotTo(HaveKey("X-Tenant"))
	})

	It("ends a connection on which a second request may have been smuggled", func() {
		r := started(1)
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
		It("asks another", func() {
			r := started(2)
			r.workers[0].SetBehaviour(worker.Behaviour{Reject: true})
			for i := range 6 {
				Expect(r.post("/once/", fmt.Sprint("a", i)).status).To(Equal(200))
			}
			Expect(r.runs()).To(HaveLen(6))
		})

		It("says that the request has not run, and when to come back, if all do", func() {
			r := started(2)
			for _, w := range r.workers {
				w.SetBehaviour(worker.Behaviour{Reject: true})
			}
			a := r.post("/once/", "a")
			Expect(a.status).To(Equal(429))
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(r.runs()).To(BeEmpty())
		})

		It("keeps repeated sends within the budget", func() {
			r := startedWith(retrybudget.Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 5}, 2)
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
			r := startedWith(retrybudget.Settings{Ratio: 2, Window: 10 * time.Second, Slack: 20}, 2)
			for _, w := range r.workers {
				w.SetBehaviour(worker.Behaviour{Reject: true})
			}
			for i := range 5 {
				r.post("/again/x", fmt.Sprint("refused-", i))
			}
			Expect(r.log.String()).To(MatchRegexp(`"request failed","id":"refused-0".*"repeat":\{"granted":false,"taken":0,"allowed":0\.6\d?(,"waited":\d+)?\}`))
			Expect(r.log.String()).To(MatchRegexp(`"request failed","id":"refused-1".*"repeat":\{"granted":true,"taken":0,"allowed":1\.2\d?(,"waited":\d+)?\}`))
		})

		It("is passed over when the address belongs to another start", func() {
			r := started(1)
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
		It("never sends a request again that may run only once", func() {
			r := started(2)
			r.next(worker.Behaviour{DropConnection: true})
			a := r.post("/once/", "a")
			Expect(a.status).To(Equal(502))
			Expect(r.runs()).To(HaveLen(1))
		})

		It("sends a request again that may be repeated", func() {
			r := started(2)
			r.workers[0].SetBehaviour(worker.Behaviour{DropConnection: true})
			for i := range 4 {
				Expect(r.post("/again/", fmt.Sprint("a", i)).status).To(Equal(200))
			}
		})

		It("never says not run of a request that an earlier server may have run", func() {
			for i := range 12 {
				r := started(2)
				r.workers[0].SetBehaviour(worker.Behaviour{DropConnection: true})
				r.workers[1].SetBehaviour(worker.Behaviour{Reject: true})
				a := r.post("/again/", fmt.Sprint("a", i))
				if len(r.runs()) > 0 {
					Expect(a.status).To(Equal(502))
				}
			}
		})

		It("answers 504 once the time of the route is over", func() {
			r := started(1)
			r.workers[0].SetBehaviour(worker.Behaviour{Hang: true})
			Expect(r.post("/short/", "a").status).To(Equal(504))
			Eventually(r.workers[0].Disconnects).Should(Equal(1))
		})

		It("sends the request nowhere else when no connection opens", func() {
			r := started(1)
			r.workers[0].Close()
			a := r.post("/once/", "a")
			Expect(a.status).To(Equal(503))
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		})
	})

	It("gives no answer as a success that carries no proof", func() {
		r := started(1)
		r.workers[0].SetBehaviour(worker.Behaviour{OmitSeal: true, AbortAfterEvents: -1})
		Expect(r.post("/once/", "a").status).To(Equal(502))
	})

	It("passes a worker's own failure on as it is", func() {
		r := started(1)
		r.workers[0].SetBehaviour(worker.Behaviour{Status: 500, AbortAfterEvents: -1})
		a := r.post("/once/", "a")
		Expect(a.status).To(Equal(500))
		Expect(a.body).To(Equal(worker.ResponseBody("a")))
		Expect(a.header.Get("X-Response-Seal")).To(Equal("i-0.a"))
	})

	Describe("relaying a stream", func() {
		events := worker.Behaviour{Events: 5, AbortAfterEvents: -1}

		It("passes on each event", func() {
			r := started(1)
			r.workers[0].SetBehaviour(events)
			a := r.post("/stream/", "a")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(worker.StreamBody("a", 5)))
			Expect(a.header.Get("Content-Type")).To(Equal("text/event-stream"))
		})

		It("goes on at another worker where the route allows it", func() {
			r := started(2)
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

		It("does not look whole when it breaks off for good", func() {
			r := started(2)
			for _, w := range r.workers {
				w.SetBehaviour(worker.Behaviour{Events: 5, AbortAfterEvents: 2})
			}
			a := r.post("/resume/", "a")
			Expect(a.err).To(HaveOccurred())
			Expect(a.body).To(Equal(worker.StreamBody("a", 2)))
			Expect(r.runs()).To(HaveLen(2))
		})

		It("ends the connection when a stream that may run only once breaks off", func() {
			r := started(2)
			r.next(worker.Behaviour{Events: 5, AbortAfterEvents: 2})
			a := r.post("/stream/", "a")
			Expect(a.err).To(HaveOccurred())
			Expect(a.body).To(Equal(worker.StreamBody("a", 2)))
			Expect(r.runs()).To(HaveLen(1))
		})

		It("answers 502 when it breaks off before its first event", func() {
			r := started(2)
			r.next(worker.Behaviour{Events: 5, AbortAfterEvents: 0})
			Expect(r.post("/stream/", "a").status).To(Equal(502))
			Expect(r.runs()).To(HaveLen(1))
		})

		It("ends at the worker when its caller leaves", func() {
			r := started(1)
			r.workers[0].SetBehaviour(worker.Behaviour{Events: 1000, AbortAfterEvents: -1, EventInterval: 5 * time.Millisecond})
			ctx, cancel := context.WithCancel(context.Background())
			resp, err := r.client.Do(r.request(ctx, "/stream/", "a", ""))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(resp.Body, make([]byte, len(worker.Event("a", 1))))
			Expect(err).NotTo(HaveOccurred())
			cancel()
			Eventually(r.workers[0].Disconnects).Should(Equal(1))
		})
	})

	It("ends a request at the worker when its caller leaves before the answer", func() {
		r := started(1)
		r.workers[0].SetBehaviour(worker.Behaviour{Hang: true})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			Eventually(r.runs).Should(HaveLen(1))
			cancel()
		}()
		Expect(r.send(r.request(ctx, "/again/", "a", "")).err).To(HaveOccurred())
		Eventually(r.workers[0].Disconnects).Should(Equal(1))
		Expect(r.runs()).To(HaveLen(1))
	})
})

// broken is a dialect that fails.
type broken struct{ platform.Dialect }

func (broken) ParseRequest(http.Header) (gateway.RequestInfo, error) { panic("out of order") }

var _ = Describe("a handler that fails", func() {
	It("ends the connection and leaves a line", func() {
		var log lines
		g := gateway.New(gateway.Settings{}, broken{}, registry.New(), slog.New(slog.NewJSONHandler(&log, nil)))
		g.SetTable(table(), time.Now())
		server := httptest.NewUnstartedServer(g)
		server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
		server.Start()
		DeferCleanup(server.Close)
		_, err := http.Post(server.URL, "text/plain", strings.NewReader("x"))
		Expect(err).To(HaveOccurred())
		Expect(log.String()).To(ContainSubstring(`"request handler failed","failure":"out of order"`))
	})
})
