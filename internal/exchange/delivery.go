package exchange

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// deliveryTimeout is how long a server may acknowledge nothing while data is outstanding. It is shorter than
	// tcpUserTimeout, after which the kernel ends the connection without telling the server: a server whose replies are
	// lost, or that does not read, would go on with a request that is sent elsewhere meanwhile.
	deliveryTimeout = tcpUserTimeout - 50*time.Millisecond
	// deliveryCheckInterval is the time between checks while data is outstanding. The first check is usually the last.
	deliveryCheckInterval = 25 * time.Millisecond
)

// watchDelivery begins to watch whether the server acknowledges the request. The caller stops the timer when the exchange
// has ended.
func (c *conn) watchDelivery() *time.Timer {
	begun, written := time.Now(), c.writeDone
	return time.AfterFunc(deliveryCheckInterval, func() { c.awaitDelivery(begun, written) })
}

// awaitDelivery returns when the request has been written and acknowledged. It resets the connection if the server
// acknowledges nothing for deliveryTimeout.
func (c *conn) awaitDelivery(begun time.Time, written <-chan struct{}) {
	progressAt, before, known := begun, uint64(0), false
	for {
		outstanding, acknowledged, ok := c.deliveryState()
		if !ok || !outstanding && closed(written) {
			return
		}
		if known && acknowledged != before || !outstanding {
			progressAt = time.Now()
		}
		if time.Since(progressAt) >= deliveryTimeout {
			c.undelivered.Store(true)
			c.reset()
			return
		}
		before, known = acknowledged, true
		time.Sleep(deliveryCheckInterval)
	}
}

// deliveryState reports whether data has been sent that the server has not acknowledged, and how many bytes it has
// acknowledged on the connection. It fails if the connection has been closed.
func (c *conn) deliveryState() (outstanding bool, acknowledged uint64, ok bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil || infoErr != nil {
		return false, 0, false
	}
	return info.Unacked > 0 || info.Notsent_bytes > 0, info.Bytes_acked, true
}

// reset closes the connection and discards outstanding data, which makes the kernel send a reset at once.
func (c *conn) reset() {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0) // the connection is closed in any case
	}
	c.close()
}

// errUndelivered is the cause of a failed exchange whose request the server has not acknowledged in time.
var errUndelivered = errors.New("the server did not acknowledge the request in time")

// cause returns why reading from the connection failed with err.
func (c *conn) cause(err error) error {
	if c.undelivered.Load() {
		return errUndelivered
	}
	return err
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
