package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// established reports whether the peer of a connection that sends nothing has neither closed nor reset it.
func established(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	state := 0
	if err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = int(info.State)
		}
	}); err != nil {
		return false
	}
	return state == unix.BPF_TCP_ESTABLISHED
}

// Guards against giving up a server that acknowledges nothing without telling it, which then works on while the request
// runs elsewhere.
func TestAServerThatAcknowledgesNothingIsTold(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // the body doesn't fit in any case
		_, _ = http.ReadRequest(bufio.NewReader(c)) // its body is not read
		accepted <- c.(*net.TCPConn)
	}()
	req := limitsRequest("a")
	req.Body, req.HasBody = bytes.Repeat([]byte("x"), 16<<20), true
	start := time.Now()
	_, err = NewPool(time.Now, func() {}).Do(t.Context(), l.Addr().String(), req)
	var e *Error
	g.Expect(errors.As(err, &e)).To(BeTrue())
	g.Expect(e.Proof()).To(BeEmpty())
	g.Expect(err).To(MatchError(errUndelivered))
	g.Expect(time.Since(start)).To(BeNumerically("~", deliveryTimeout, 500*time.Millisecond))
	server := <-accepted
	defer server.Close()
	g.Eventually(func() bool { return established(server) }, 400*time.Millisecond, time.Millisecond).Should(BeFalse())
}

// Guards against resetting the connection of a server that reads a body slowly.
func TestAServerThatReadsSlowlyIsNotReset(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	const size = 8 << 20
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		in := bufio.NewReader(c)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		for part := make([]byte, size/8); err == nil; { // until the end of the body
			time.Sleep(deliveryTimeout / 5)
			_, err = io.ReadFull(req.Body, part)
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n")) // a failure shows up at the client
	}()
	req := limitsRequest("a")
	req.Body, req.HasBody = bytes.Repeat([]byte("x"), size), true
	resp, err := NewPool(time.Now, func() {}).Do(t.Context(), l.Addr().String(), req)
	g.Expect(err).NotTo(HaveOccurred())
	resp.Close()
}
