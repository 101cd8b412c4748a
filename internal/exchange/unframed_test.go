package exchange

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// earlyServer answers requests without length before it has read their bodies, and ends the connection.
func earlyServer(t *testing.T, read int64, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, req.Body, read) // a short body ends earlier
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nConnection: close\r\n\r\nhalf", req.Header.Get("X-Attempt-Id"))
				time.Sleep(time.Millisecond)
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0) // the connection is closed in any case
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against taking a part of a body without length for the whole when the connection is reset while the request is
// written.
func TestABodyWithoutLengthIsIncompleteIfTheRequestIsNotWritten(t *testing.T) {
	for _, size := range []int{maxInlineBodyBytes, maxInlineBodyBytes + 1, 64 << 10, 1 << 20, 16 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			complete := 0
			address := earlyServer(t, 10, true)
			for i := range 50 {
				pool := NewPool(time.Now, func() {})
				req := limitsRequest(fmt.Sprint(i))
				req.Body, req.HasBody = bytes.Repeat([]byte("x"), size), true
				resp, err := pool.Do(t.Context(), address, req)
				if err != nil {
					continue
				}
				if _, err := io.ReadAll(resp); err == nil {
					complete++
				}
				resp.Close()
			}
			g.Expect(complete).To(BeZero())
		})
	}
}

// Guards against breaking off a whole body without length of a server that has read the request.
func TestABodyWithoutLengthIsCompleteIfTheRequestIsWritten(t *testing.T) {
	for _, size := range []int{0, maxInlineBodyBytes + 1, 64 << 10, 1 << 20, 16 << 20} {
		g := NewWithT(t)
		address := earlyServer(t, int64(size), false)
		for i := range 20 {
			pool := NewPool(time.Now, func() {})
			req := limitsRequest(fmt.Sprint(i))
			req.Body, req.HasBody = bytes.Repeat([]byte("x"), size), true
			resp, err := pool.Do(t.Context(), address, req)
			g.Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp)
			g.Expect(err).NotTo(HaveOccurred(), "%d bytes", size)
			g.Expect(string(body)).To(Equal("half"))
			resp.Close()
		}
	}
}
