package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/standin/scripted"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

// startScripted returns a server that follows a script, and a pool that sends requests to it.
func startScripted(t *testing.T, script scripted.Script) (*scripted.Server, *Pool) {
	t.Helper()
	s, err := scripted.Start("i-1", script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, NewPool(time.Now, func() {})
}

// sendAttempt sends a request of an attempt and returns the response with its body.
func sendAttempt(t *testing.T, pool *Pool, address, id string, a *Attempt) (*Response, string, error) {
	t.Helper()
	req := limitsRequest(id)
	req.MayRepeat, req.Attempt = false, a
	if id == "" {
		req.Header.Del("X-Attempt-Id")
	}
	resp, err := pool.Do(t.Context(), address, req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return resp, string(body), err
}

var run = scripted.Step{Runs: true, Status: http.StatusOK}

func rejection(copies ...scripted.Copy) scripted.Step {
	return scripted.Step{Status: http.StatusServiceUnavailable, NotExecuted: true, Copies: copies}
}

// Guards against a send on a connection that has carried an earlier send of the same attempt, whose late copies have the
// same ID.
func TestAConnectionIsNotUsedAgainForTheSameAttempt(t *testing.T) {
	g := NewWithT(t)
	s, pool := startScripted(t, func(scripted.Arrival) scripted.Step { return rejection(scripted.Copy{}) })
	var a, b Attempt
	for range 3 {
		_, _, err := sendAttempt(t, pool, s.Address(), "a", &a)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(s.ConnectionCount()).To(Equal(3))
	_, _, err := sendAttempt(t, pool, s.Address(), "b", &b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.ConnectionCount()).To(Equal(3), "another attempt uses the connections")
	g.Expect(b.Last().Exchange).To(Equal(2))
	g.Expect(b.Last().Dropped).To(Equal(Dropped{Count: 1, First: DroppedResponse{Status: 503, Reason: otherID, ID: "a"}}))
}

// Guards against taking a response without ID, or with several, for the answer to a request.
func TestResponsesWithoutTheIDOfTheRequestAreNoAnswer(t *testing.T) {
	for _, c := range []scripted.Copy{{ID: scripted.NoID}, {ID: scripted.OtherID}, {ID: scripted.NoID, AnnounceClose: true}, {ID: scripted.NoID, Chunked: true}} {
		g := NewWithT(t)
		s, pool := startScripted(t, func(a scripted.Arrival) scripted.Step {
			if a.ID == "a" {
				return rejection(c, c)
			}
			return run
		})
		_, _, err := sendAttempt(t, pool, s.Address(), "a", &Attempt{})
		g.Expect(err).NotTo(HaveOccurred())
		resp, body, err := sendAttempt(t, pool, s.Address(), "b", &Attempt{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Proof(resp.Header.Get("X-Not-Executed") != "")).To(BeEmpty())
		g.Expect(body).To(Equal(worker.ResponseBody("b")))
		g.Expect(s.ConnectionCount()).To(Equal(1))
	}
}

// Guards against waiting until the deadline for the answer of a server that does not return IDs.
func TestAResponseWithoutIDOnANewConnectionFailsAtOnce(t *testing.T) {
	g := NewWithT(t)
	s, pool := startScripted(t, func(scripted.Arrival) scripted.Step {
		return scripted.Step{Status: http.StatusServiceUnavailable, NotExecuted: true, OmitID: true}
	})
	_, _, err := sendAttempt(t, pool, s.Address(), "a", &Attempt{})
	var e *Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Proof()).To(BeEmpty())
	g.Expect(e.Stage).To(Equal(Mismatched))
}

// Guards against giving a request without ID the late answer to another one.
func TestRequestsWithoutIDUseConnectionsOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	s, pool := startScripted(t, func(scripted.Arrival) scripted.Step {
		return scripted.Step{Status: http.StatusBadRequest, NotExecuted: true, Copies: []scripted.Copy{{}}}
	})
	for range 2 {
		resp, _, err := sendAttempt(t, pool, s.Address(), "", &Attempt{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Proof(true)).To(Equal(Rejected))
	}
	g.Expect(s.ConnectionCount()).To(Equal(2))
}

// Guards against taking for a rejection the header of one that is cut and merges with the answer to the request.
func TestAHeaderThatMergesWithTheNextIsNoAnswer(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nContent-Length: 0\r\n\r\n"
	cut := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Server-Load: 6,3,6\r\nX-Attempt-Id: a\r\n"
	misdirected := "HTTP/1.1 421 Misdirected Request\r\nX-Server-Load: "
	for _, text := range []string{cut, misdirected} {
		for n := range len(text) {
			answer := text[:n+1] + whole
			c, server := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(server))
				_, _ = io.WriteString(server, answer)
				_ = server.Close()
			}()
			conn := newConn(c, "")
			conn.exchanges, conn.dropped, conn.echoHeader = 2, &Dropped{}, "X-Attempt-Id"
			resp, err := conn.roundTrip(limitsRequest("b"))
			if err == nil && (&Response{Status: resp.StatusCode}).Proof(resp.Header.Get("X-Not-Executed") != "") != "" {
				t.Errorf("%q is taken as proof", answer)
			}
			_ = c.Close()
		}
	}
}

// Guards against taking for a rejection what follows the answer, when a late copy that is cut inside its body has swallowed
// the answer.
func TestAnAnswerThatMergesWithACutBodyIsNotSkipped(t *testing.T) {
	const stream, chunk = "Transfer-Encoding: chunked\r\n\r\n", "40\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n0\r\n\r\n"
	const length = "Content-Length: 100\r\n\r\n0123456789"
	answer := "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\n" + stream + chunk
	rejection := "HTTP/1.1 408 Request Timeout\r\nX-Attempt-Id: b\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	for _, late := range []string{"HTTP/1.1 400 Bad Request\r\n" + stream + chunk, "HTTP/1.1 400 Bad Request\r\nX-Attempt-Id: a\r\n" + length} {
		for cut := 1; cut < len(late); cut++ {
			for filler := range len(answer) { // moves the end of what the cut body swallows over all of the answer
				text := late[:cut] + strings.Replace(answer, "OK", "OK"+strings.Repeat("x", filler), 1) + rejection
				resp, err := respondWith(text)
				if err == nil && resp.Proof(resp.Header.Get("X-Not-Executed") != "") != "" {
					t.Fatalf("%q is taken as proof", text)
				}
			}
		}
	}
}

// respondWith returns the response to request b on a connection that is used again, on which the server sends a text.
func respondWith(text string) (*Response, error) {
	c := newConn(replay{text: strings.NewReader(text)}, "")
	c.exchanges, c.dropped, c.echoHeader = 2, &Dropped{}, "X-Attempt-Id"
	resp, err := c.roundTrip(limitsRequest("b"))
	if err != nil {
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header}, nil
}

// replay is a connection on which a text arrives.
type replay struct {
	net.Conn
	text io.Reader
}

func (r replay) Read(p []byte) (int, error) { return r.text.Read(p) }

func (replay) Write(p []byte) (int, error) { return len(p), nil }

// Guards against refusing responses with header values that only resemble a status line.
func TestStatusLinesInHeaders(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]bool{"HTTP/1.1 200 OK": true, "HTTP/1.1 proxy HTTP/1.1 200": true, "6,3HTTP/1.1 503": true, "HTTP/1.1": false, "HTTP/1.1 proxy": false, "1.1 a": false, "503 Service Unavailable": false} {
		g.Expect(statusLine.MatchString(text)).To(Equal(want), text)
	}
}

// Guards against reading a response on a connection on which nothing of the request could be sent.
func TestNoResponseBelongsToARequestThatWasNotSent(t *testing.T) {
	g := NewWithT(t)
	c, server := net.Pipe()
	conn := newConn(unwritable{c}, "")
	conn.exchanges, conn.dropped = 1, &Dropped{}
	go func() { _, _ = io.Copy(server, strings.NewReader("HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\n\r\n")) }()
	defer server.Close()
	_, err := conn.roundTrip(limitsRequest("b"))
	var e *Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Proof()).To(Equal(NotSent))
}

// unwritable is a connection whose writes fail.
type unwritable struct{ net.Conn }

func (unwritable) Write([]byte) (int, error) { return 0, net.ErrClosed }

// Guards against a server that still works on a run when the request is sent again, and against the loss of a connection
// whose response has arrived.
func TestADiscardedRunIsDisconnectedUnlessItsResponseHasArrived(t *testing.T) {
	for _, ending := range []scripted.Ending{scripted.KeepOpen, scripted.WorkOn} {
		g := NewWithT(t)
		server, pool := startScripted(t, func(scripted.Arrival) scripted.Step {
			return scripted.Step{Runs: true, Status: http.StatusInternalServerError, Ending: ending}
		})
		resp, err := pool.Do(t.Context(), server.Address(), limitsRequest("a"))
		g.Expect(err).NotTo(HaveOccurred())
		resp.DiscardRun()
		if ending == scripted.WorkOn {
			g.Expect(pool.idle).To(BeEmpty())
			g.Expect(server.WorksOn("a", time.Now())).To(BeFalse())
			continue
		}
		_, _, err = sendAttempt(t, pool, server.Address(), "b", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(server.ConnectionCount()).To(Equal(1))
	}
}
