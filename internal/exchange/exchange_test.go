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
		answer, err := io.ReadAll(resp)
		return string(answer), resp.Status, err
	}
	failure := func(err error) *Error {
		var e *Error
		Expect(errors.As(err, &e)).To(BeTrue(), "%v", err)
		return e
	}

	It("passes method, target and body on unchanged and reuses the connection", func() {
		for _, id := range []string{"a", "b"} {
			answer, status, err := do(id, "body of "+id)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(200))
			Expect(answer).To(Equal(worker.ResponseBody(id)))
		}
		runs := server.Executions()
		Expect(runs).To(HaveLen(2))
		Expect(runs[1].Method).To(Equal("POST"))
		Expect(runs[1].Target).To(Equal("/a%20b/?x=1"))
		Expect(runs[1].Body).To(Equal("body of b"))
		Expect(server.ConnectionCount()).To(Equal(1))
	})

	It("was not sent when no connection can be opened", func() {
		server.Close()
		_, _, err := do("a", "")
		Expect(failure(err).MayHaveRun).To(BeFalse())
		Expect(failure(err).Stage).To(Equal(Connecting))
	})

	It("may have run when the connection closes without a response", func() {
		server.QueueBehaviours(worker.Behaviour{DropConnection: true})
		_, _, err := do("a", "")
		Expect(failure(err).MayHaveRun).To(BeTrue())
	})

	It("skips the response to another request", func() {
		server.QueueBehaviours(worker.Behaviour{ForeignResponseFirst: true, AbortAfterEvents: -1})
		answer, _, err := do("a", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(worker.ResponseBody("a")))
	})

	It("accepts a response without length as complete when its connection closes cleanly", func() {
		server.QueueBehaviours(worker.Behaviour{CloseDelimited: true, AbortAfterEvents: -1})
		answer, _, err := do("a", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(worker.ResponseBody("a")))
		_, _, err = do("b", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(server.ConnectionCount()).To(Equal(2))
	})

	It("distinguishes an aborted stream from a complete one", func() {
		server.QueueBehaviours(worker.Behaviour{Events: 3, AbortAfterEvents: 1})
		answer, _, err := do("a", "")
		Expect(err).To(HaveOccurred())
		Expect(answer).To(HavePrefix(worker.Event("a", 1)))
		server.QueueBehaviours(worker.Behaviour{Events: 3, AbortAfterEvents: -1})
		answer, _, err = do("b", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(worker.StreamBody("b", 3)))
	})

	It("accepts a response that arrives before a long body has been read, without losing a byte", func() {
		long := strings.Repeat("x", 8<<20)
		server.QueueBehaviours(worker.Behaviour{RejectBeforeBody: true})
		_, status, err := do("a", long)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(413))
		answer, _, err := do("b", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(worker.ResponseBody("b")))
	})

	It("does not use a connection that its server has closed", func() {
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

	It("keeps no connection to a process that is known to have ended", func() {
		_, _, err := do("a", "")
		Expect(err).NotTo(HaveOccurred())
		pool.CloseIdle(server.Address())
		pool.CloseIdle("10.0.0.1:80")
		_, _, err = do("b", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(server.ConnectionCount()).To(Equal(2))
	})

	It("sends a request that may run only once on a fresh connection", func() {
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

	It("closes idle connections that are too old", func() {
		_, _, err := do("a", "")
		Expect(err).NotTo(HaveOccurred())
		clock = clock.Add(maxIdleRepeatable + time.Millisecond)
		pool.Sweep()
		Expect(pool.idle).To(BeEmpty())
	})

	It("aborts when its context ends, and the server notices", func() {
		server.QueueBehaviours(worker.Behaviour{Hang: true})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			Eventually(server.Executions).Should(HaveLen(1))
			cancel()
		}()
		_, err := pool.Do(ctx, server.Address(), request("a", ""))
		Expect(failure(err).MayHaveRun).To(BeTrue())
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		Eventually(server.DisconnectCount).Should(Equal(1))
	})
})

func TestKeepAliveTimes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=5, max=100"}})).To(Equal(5 * time.Second))
	g.Expect(keepAliveTimeout(http.Header{"Keep-Alive": {"max=100"}})).To(BeZero())
	g.Expect(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=soon"}})).To(BeZero())
}
