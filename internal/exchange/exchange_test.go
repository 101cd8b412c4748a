package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

func TestExchange(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "exchange")
}

var _ = Describe("an exchange with a backend server", func() {
	var (
		server *worker.Worker
		pool   *Pool
		clock  time.Time
	)
	BeforeEach(func() {
		var err error
		server, err = worker.Start("i-1")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		clock = time.Unix(0, 0)
		pool = NewPool(func() time.Time { return clock }, func() {})
	})
	request := func(id, body string) *Request {
		return &Request{Method: "POST", Target: "/a%20b/?x=1", Host: "a.example", Header: http.Header{"X-Attempt-Id": {id}},
			Body: []byte(body), HasBody: body != "", EchoHeader: "X-Attempt-Id", EchoID: id, MayRepeat: true}
	}
	do := func(id, body string) (string, int, error) {
		resp, err := pool.Do(context.Background(), server.Address(), request(id, body))
		if err != nil {
			return "", 0, err
		}
		defer resp.Close()
		content, err := io.ReadAll(resp)
		return string(content), resp.Status, err
	}
	exchangeError := func(err error) *Error {
		var e *Error
		Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
		return e
	}

	It("passes method, target and body on unchanged and reuses the connection", func() {
		for _, id := range []string{"a", "b"} {
			body, status, err := do(id, "body of "+id)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(200))
			Expect(body).To(Equal(worker.ResponseBody(id)))
		}
		runs := server.Executions()
		Expect(runs).To(HaveLen(2))
		Expect(runs[1].Method).To(Equal("POST"))
		Expect(runs[1].Target).To(Equal("/a%20b/?x=1"))
		Expect(runs[1].Body).To(Equal("body of b"))
		Expect(server.ConnectionCount()).To(Equal(1))
	})

	It("reports that the request was not sent if no connection can be opened", func() {
		server.Close()
		_, _, err := do("a", "")
		Expect(exchangeError(err).MayHaveRun).To(BeFalse())
		Expect(exchangeError(err).Stage).To(Equal(Connecting))
	})

	It("reports that the request may have run if the connection closes without a response", func() {
		server.QueueBehaviours(worker.Behaviour{DropConnection: true})
		_, _, err := do("a", "")
		Expect(exchangeError(err).MayHaveRun).To(BeTrue())
	})

	It("skips the response to another request", func() {
		server.QueueBehaviours(worker.Behaviour{ForeignResponseFirst: true, AbortAfterEvents: -1})
		body, _, err := do("a", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(worker.ResponseBody("a")))
	})

	It("accepts a response without a length as complete if the connection closes cleanly", func() {
		server.QueueBehaviours(worker.Behaviour{Framing: worker.FramedByClose, AbortAfterEvents: -1})
		body, _, err := do("a", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(worker.ResponseBody("a")))
		_, _, err = do("b", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(server.ConnectionCount()).To(Equal(2))
	})

	It("distinguishes an aborted stream from a complete one", func() {
		server.QueueBehaviours(worker.Behaviour{Events: 3, AbortAfterEvents: 1})
		body, _, err := do("a", "")
		Expect(err).To(HaveOccurred())
		Expect(body).To(HavePrefix(worker.Event("a", 1)))
		server.QueueBehaviours(worker.Behaviour{Events: 3, AbortAfterEvents: -1})
		body, _, err = do("b", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(worker.StreamBody("b", 3)))
	})

	It("accepts a complete response that arrives before the server has read a long body", func() {
		longBody := strings.Repeat("x", 8<<20)
		server.QueueBehaviours(worker.Behaviour{RejectBeforeBody: true})
		_, status, err := do("a", longBody)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(413))
		body, _, err := do("b", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(worker.ResponseBody("b")))
	})

	It("does not reuse a connection that the server has closed", func() {
		_, _, err := do("a", "")
		Expect(err).NotTo(HaveOccurred())
		server.CloseConnections()
		Eventually(func() bool {
			pool.mu.Lock()
			defer pool.mu.Unlock()
			return pool.idle[server.Address()][0].healthy()
		}).Should(BeFalse())
		_, _, err = do("b", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(server.ConnectionCount()).To(Equal(2))
	})

	It("closes idle connections to a server process that is known to have ended", func() {
		_, _, err := do("a", "")
		Expect(err).NotTo(HaveOccurred())
		pool.CloseIdle(server.Address())
		pool.CloseIdle("10.0.0.1:80")
		_, _, err = do("b", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(server.ConnectionCount()).To(Equal(2))
	})

	It("opens a new connection for a non-repeatable request if the idle one may be stale", func() {
		_, _, err := do("a", "")
		Expect(err).NotTo(HaveOccurred())
		clock = clock.Add(maxIdleNonRepeatable + time.Millisecond)
		once := request("b", "")
		once.MayRepeat = false
		resp, err := pool.Do(context.Background(), server.Address(), once)
		Expect(err).NotTo(HaveOccurred())
		resp.Close()
		Expect(server.ConnectionCount()).To(Equal(2))
	})

	It("closes expired idle connections", func() {
		_, _, err := do("a", "")
		Expect(err).NotTo(HaveOccurred())
		clock = clock.Add(maxIdleRepeatable + time.Millisecond)
		pool.Sweep()
		Expect(pool.idle).To(BeEmpty())
	})

	It("closes the connection when the context is cancelled, and the server detects it", func() {
		server.QueueBehaviours(worker.Behaviour{Hang: true})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			Eventually(server.Executions).Should(HaveLen(1))
			cancel()
		}()
		_, err := pool.Do(ctx, server.Address(), request("a", ""))
		Expect(exchangeError(err).MayHaveRun).To(BeTrue())
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		Eventually(server.DisconnectCount).Should(Equal(1))
	})
})

func TestKeepAliveTimeout(t *testing.T) {
	g := NewWithT(t)
	g.Expect(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=5, max=100"}})).To(Equal(5 * time.Second))
	g.Expect(keepAliveTimeout(http.Header{"Keep-Alive": {"max=100"}})).To(BeZero())
	g.Expect(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=soon"}})).To(BeZero())
}
