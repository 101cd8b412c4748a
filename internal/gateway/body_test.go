package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/gateway"
	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

// harnessForBodies returns a harness with one worker whose configuration has the limits.
func harnessForBodies(t *testing.T, limits routing.Limits) *harness {
	h := harnessForTest(t, 1)
	contents := routing.Config{Version: 2, Limits: limits, Teams: map[string]*routing.Team{"key": {Name: "team"}}}
	for _, route := range routes {
		route.Targets = []routing.Target{{Service: "s", Weight: 1}}
		contents.Routes = append(contents.Routes, route)
	}
	next, err := routing.New(contents)
	Expect(err).NotTo(HaveOccurred())
	Expect(h.gateway.SetTable(next, time.Now())).To(BeTrue())
	return h
}

// upload is a request whose body is sent in parts.
type upload struct {
	net.Conn
	responses *bufio.Reader
}

// beginUpload sends the header of a request. length is that of the body, or -1 to send it in chunks.
func (h *harness) beginUpload(t *testing.T, path, id string, length int, fields ...string) *upload {
	c, err := net.Dial("tcp", h.server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	fields = append(fields, "Host: a.example", "Api-Key: key", "X-Attempt-Id: "+id)
	if length < 0 {
		fields = append(fields, "Transfer-Encoding: chunked")
	} else {
		fields = append(fields, fmt.Sprint("Content-Length: ", length))
	}
	u := &upload{c, bufio.NewReader(c)}
	u.write("POST " + path + " HTTP/1.1\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n")
	return u
}

func (u *upload) write(text string) {
	_, err := io.WriteString(u, text)
	Expect(err).NotTo(HaveOccurred())
}

// response reads the response and returns its status.
func (u *upload) response() *http.Response {
	Expect(u.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	resp, err := http.ReadResponse(u.responses, nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const lastChunk = "0\r\n\r\n"

// Guards against refusing requests whose bodies come in chunks although their bodies would fit in memory.
func TestBodiesInChunksTakeTheMemoryOfWhatHasArrived(t *testing.T) {
	const requests, size = 60, 10_000
	h := harnessForBodies(t, routing.Limits{BodyBytes: 4 << 20})
	var uploads []*upload
	for i := range requests {
		u := h.beginUpload(t, "/again/", fmt.Sprint("a", i), -1)
		u.write(chunk(strings.Repeat("x", size)))
		uploads = append(uploads, u)
	}
	Eventually(h.gateway.HeldBytes, 5*time.Second).Should(BeNumerically(">=", requests*size))
	Expect(h.gateway.HeldBytes()).To(BeNumerically("<=", 2*requests*size))
	for _, u := range uploads {
		u.write(lastChunk)
		Expect(u.response().StatusCode).To(Equal(200))
	}
	for _, run := range h.runs() {
		Expect(run.Body).To(Equal(strings.Repeat("x", size)))
	}
	Eventually(h.gateway.HeldBytes).Should(BeZero())
}

// Guards against altered bodies around the sizes at which the memory for a body grows, and around the largest one.
func TestBodiesOfAllSizesArriveUnchanged(t *testing.T) {
	const limit = 20_000
	h := harnessForBodies(t, routing.Limits{BodyBytes: limit})
	for _, size := range []int{1, 4095, 4096, 4097, 8191, 8192, 8193, 16384, 16385, limit - 1, limit, limit + 1} {
		for _, chunked := range []bool{false, true} {
			body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
			id := fmt.Sprint("a", size, chunked)
			req := h.request(context.Background(), "/once/", id, body)
			if chunked {
				req.ContentLength = -1
			}
			resp := h.send(req)
			if size > limit {
				Expect(resp.status).To(Equal(413))
				continue
			}
			Expect(resp.status).To(Equal(200), id)
			runs := h.runs()
			Expect(runs[len(runs)-1].Body).To(Equal(body))
		}
	}
	Eventually(h.gateway.HeldBytes).Should(BeZero())
}

// Guards against a body that stops arriving and keeps its memory, or is answered as if the request were malformed.
func TestABodyThatStopsArrivingIsAnsweredWithATimeout(t *testing.T) {
	for name, c := range map[string]struct {
		limits routing.Limits
		fields []string
	}{
		"idle":     {limits: routing.Limits{IdleTimeout: 200 * time.Millisecond}},
		"deadline": {fields: []string{"X-Request-Deadline: 200"}},
	} {
		for _, length := range []int{-1, 8000} {
			t.Run(fmt.Sprint(name, length), func(t *testing.T) {
				h := harnessForBodies(t, c.limits)
				start := time.Now()
				u := h.beginUpload(t, "/once/", "a", length, c.fields...)
				if length < 0 {
					u.write(chunk("part"))
				} else {
					u.write("part")
				}
				resp := u.response()
				Expect(resp.StatusCode).To(Equal(408))
				Expect(resp.Close).To(BeTrue())
				Expect(time.Since(start)).To(BeNumerically("~", 200*time.Millisecond, 150*time.Millisecond))
				Expect(h.runs()).To(BeEmpty())
				Eventually(h.gateway.HeldBytes).Should(BeZero())
			})
		}
	}
}

// Guards against ending a body that arrives slowly, but within the deadline of its request.
func TestASlowBodyIsNotEnded(t *testing.T) {
	h := harnessForBodies(t, routing.Limits{IdleTimeout: 500 * time.Millisecond})
	u := h.beginUpload(t, "/once/", "a", -1)
	for range 10 {
		u.write(chunk("part"))
		time.Sleep(100 * time.Millisecond)
	}
	u.write(lastChunk)
	Expect(u.response().StatusCode).To(Equal(200))
	Expect(h.runs()[0].Body).To(Equal(strings.Repeat("part", 10)))
}

// Guards against holding a body during a long response although the request is not sent again, and against dropping one
// that is.
func TestABodyIsHeldOnlyWhileTheRequestMayBeSent(t *testing.T) {
	const size = 100_000
	for path, held := range map[string]bool{"/stream/": false, "/resume/": true} {
		t.Run(path, func(t *testing.T) {
			h := harnessForBodies(t, routing.Limits{})
			w := h.workers[0]
			w.SetBehaviour(worker.Behaviour{Events: 20, AbortAfterEvents: -1, EventInterval: 20 * time.Millisecond})
			resp, err := h.client.Do(h.request(context.Background(), path, "a", strings.Repeat("x", size)))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			_, err = io.ReadFull(resp.Body, make([]byte, len(worker.Event("a", 1))))
			Expect(err).NotTo(HaveOccurred())
			Expect(h.gateway.HeldBytes() >= size).To(Equal(held))
			rest, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(worker.Event("a", 1) + string(rest)).To(Equal(worker.StreamBody("a", 20)))
		})
	}
}

// BenchmarkRequestsHeld reports how many requests with a body of 10,000 bytes a gateway holds at a time.
func BenchmarkRequestsHeld(b *testing.B) {
	body := strings.Repeat("x", 10_000)
	for name, length := range map[string]int64{"length": int64(len(body)), "chunks": -1} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(gateway.RequestsHeld(body, length)), "requests")
			}
		})
	}
}
