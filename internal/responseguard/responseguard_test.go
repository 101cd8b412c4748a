package responseguard

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against broken responses of HTTP/1.0 that look complete to callers, and against resetting complete ones.
func TestOnlyBrokenResponsesAreReset(t *testing.T) {
	const part = "data: x\n\n"
	for _, c := range []struct {
		path, proto string
		want        error
	}{
		{"/whole", "HTTP/1.0", nil}, {"/broken", "HTTP/1.0", syscall.ECONNRESET},
		{"/whole", "HTTP/1.1", nil}, {"/broken", "HTTP/1.1", io.ErrUnexpectedEOF},
	} {
		t.Run(c.proto+c.path, func(t *testing.T) {
			g := NewWithT(t)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				complete := Begin(r)
				_, _ = io.WriteString(w, part)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(10 * time.Millisecond) // so that the part arrives before the reset
				if r.URL.Path == "/broken" {
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, part)
				complete()
			}))
			server.Config.ConnContext = ConnContext
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET "+c.path+" "+c.proto+"\r\nHost: a.example\r\nConnection: close\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			if c.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(string(body)).To(Equal(part + part))
				return
			}
			g.Expect(err).To(MatchError(c.want))
			g.Expect(string(body)).To(Equal(part))
		})
	}
}
