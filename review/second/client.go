package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a consumer's channel to a gateway.
type channel struct {
	conn     net.Conn
	reader   *bufio.Reader
	openedAt time.Time
}

// open opens a channel.
func open(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn), openedAt: time.Now()}, nil
}

// answer is what a consumer got for a request.
type answer struct {
	status  int
	header  http.Header
	body    string
	err     error // why the answer is incomplete, or there is none
	sentAt  time.Time
	endedAt time.Time
}

// whole reports whether the answer is complete.
func (a answer) whole() bool { return a.err == nil }

func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer: %v", a.err)
	case a.err != nil:
		return fmt.Sprintf("%d, seal %q, broken off after %d bytes: %v", a.status, a.header.Get("X-Response-Seal"), len(a.body), a.err)
	}
	return fmt.Sprintf("%d, seal %q, %d bytes, complete", a.status, a.header.Get("X-Response-Seal"), len(a.body))
}

// request returns the bytes of a request.
func request(route, id, body string, limit time.Duration, extra ...string) string {
	lines := append([]string{
		"POST /" + route + "/" + id + " HTTP/1.1", "Host: " + host, "X-Attempt-Id: " + id, "Api-Key: " + apiKey,
		fmt.Sprint("X-Request-Deadline: ", limit.Milliseconds()), fmt.Sprint("Content-Length: ", len(body)),
	}, extra...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// prompt are the headers of a request to a model.
func prompt(id string) []string {
	return []string{"X-Model: m", "X-Token-Count: 628,300", "X-Prompt-Prefix: 5c1e07a2:119,91bd3f06:79," + fmt.Sprintf("%x", id) + ":430"}
}

// send sends a request on the channel and reads the whole answer, for at most limit.
func (c *channel) send(text string, limit time.Duration) (a answer) {
	a.sentAt = time.Now()
	defer func() { a.endedAt = time.Now() }()
	_ = c.conn.SetDeadline(a.sentAt.Add(limit)) // an error shows in the next call
	if _, err := io.WriteString(c.conn, text); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	return a
}

func (c *channel) close() { _ = c.conn.Close() }
