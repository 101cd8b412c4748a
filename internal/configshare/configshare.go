// Package configshare transfers the active configuration from one gateway to another, as a
// compressed difference to the version that the other gateway has. One gateway reads the value from
// the store; the others receive only the difference and need not decode the whole value.
//
// This reduces the impact of large values on callers: the links of the gateways also carry
// responses to callers, and the smallest hosts have little CPU time for decoding. A configuration
// that grows from 2,800 routes by 1,400 has 887 KB in the store. It takes 0.83 to 1.04 s to
// transfer at 10 Mbit/s, and 0.14 to 0.2 s to decode on 0.144 cores.
//
// The transfer is an optimization: a gateway whose peer does not reply, or replies that it is busy,
// reads the store.
package configshare

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/logposition"
	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/telemetry"
	"github.com/merlinpost/merlinpost/internal/wire"
)

const (
	// maxEarlierVersions is the number of earlier versions that are kept to compute differences. A
	// peer with an older version receives the whole configuration. Versions share their equal parts
	// in memory.
	maxEarlierVersions = 8
	// idleTimeout is how long a connection may transfer no data. It allows for some round trips of
	// at most 6 ms and for the scheduling delays of a process with a seventh of a core.
	idleTimeout = 300 * time.Millisecond
	// exchangeTimeout limits the duration of a request and its response.
	exchangeTimeout = 5 * time.Second
	// maxSendBacklog limits the time that it takes to send all pending responses over the gateway's
	// link. Further peers get a busy response and read the store over their own links. At 200
	// Mbit/s, it corresponds to 7.5 MB or 400 differences of 1,400 routes.
	maxSendBacklog = 300 * time.Millisecond
	// maxPeerConns limits the connections from peers, far below the limit on file descriptors.
	maxPeerConns = 512
)

// Dial opens a connection to another gateway.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Version is a version of the configuration with its position in the store.
type Version struct {
	Table *routing.Table
	// Next is the position from which to read the store's topic after this version.
	Next logposition.Position
	// Bytes is the size of the configuration in the store.
	Bytes int
}

// Share serves the active configuration of this gateway to its peers, and fetches theirs. It is
// safe for concurrent use.
type Share struct {
	dial     Dial
	linkMbps float64 // 0 if unknown
	logger   *slog.Logger

	mu             sync.Mutex
	newest         Version
	earlier        []*routing.Table // earlier versions, oldest first
	encodedChanges map[int64][]byte // encoded differences to the newest version, by earlier version
	bytesInFlight  int              // total size of the differences being sent
}

// New returns a Share without a configuration. linkMbps is the speed of the host's link, 0 if
// unknown.
func New(dial Dial, linkMbps float64, logger *slog.Logger) *Share {
	return &Share{dial: dial, linkMbps: linkMbps, logger: logger, encodedChanges: map[int64][]byte{}}
}

// Put sets the active version. If the version is not newer than the current one, only its position
// is used, if that is later.
func (s *Share) Put(v Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.newest.Table; current != nil && v.Table.Version <= current.Version {
		s.newest.Next = logposition.Later(s.newest.Next, v.Next)
		return
	}
	if s.newest.Table != nil {
		s.earlier = append(s.earlier, s.newest.Table)
		s.earlier = s.earlier[max(0, len(s.earlier)-maxEarlierVersions):]
	}
	s.newest = v
	clear(s.encodedChanges)
}

// Serve answers requests from peers until ctx is done, and then closes ln.
func (s *Share) Serve(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() }) // unblocks Accept
	defer stop()
	var handlers sync.WaitGroup
	defer handlers.Wait()
	slots := make(chan struct{}, maxPeerConns)
	for {
		conn, err := ln.Accept()
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		case err != nil: // for example, too many open files
			s.logger.Error("cannot accept connection from peer", "error", err)
			sleepAfterAcceptError(ctx)
			continue
		}
		select {
		case slots <- struct{}{}:
			handlers.Go(func() {
				defer func() { <-slots }()
				s.handle(ctx, conn)
			})
		default:
			telemetry.Count("merlinpost_config_handed_total", "result", "overrun")
			_ = conn.Close() // the peer reads the store
		}
	}
}

// acceptRetryDelay is the delay before accepting connections again after an error.
const acceptRetryDelay = 100 * time.Millisecond

func sleepAfterAcceptError(ctx context.Context) {
	timer := time.NewTimer(acceptRetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// handle reads a request from a connection and sends the response.
func (s *Share) handle(ctx context.Context, conn net.Conn) {
	defer closeOnTimeout(ctx, conn)()
	request, err := read[*wire.ConfigDeltaRequest](conn)
	if err != nil {
		telemetry.Count("merlinpost_config_handed_total", "result", "broken")
		return
	}
	response, done := s.prepareResponse(request.HaveVersion)
	defer done()
	if err := send(conn, response); err != nil {
		telemetry.Count("merlinpost_config_handed_total", "result", "broken")
		return
	}
	result := "sent"
	if response.Busy {
		result = "busy"
	}
	telemetry.Count("merlinpost_config_handed_total", "result", result)
	telemetry.Add("merlinpost_config_handed_bytes_total", len(response.Delta))
}

// prepareResponse returns the response to a peer that has the given version. done must be called
// when the response has been sent.
func (s *Share) prepareResponse(have int64) (response *wire.ConfigDeltaResponse, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest.Table == nil || s.newest.Table.Version <= have {
		return &wire.ConfigDeltaResponse{Busy: true}, func() {}
	}
	change, err := s.encodedChange(have)
	if err != nil {
		s.logger.Error("cannot encode configuration difference", "error", err)
		return &wire.ConfigDeltaResponse{Busy: true}, func() {}
	}
	if s.linkMbps > 0 && time.Duration(float64(8*(s.bytesInFlight+len(change)))/(s.linkMbps*1e6)*float64(time.Second)) > maxSendBacklog {
		return &wire.ConfigDeltaResponse{Busy: true}, func() {}
	}
	s.bytesInFlight += len(change)
	return &wire.ConfigDeltaResponse{Offset: s.newest.Next.Offset, Era: s.newest.Next.Era, SnapshotSize: s.newest.Bytes, Delta: change}, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.bytesInFlight -= len(change)
	}
}

// encodedChange returns the encoded difference from a version to the newest one, or the whole
// newest version if the given one is no longer kept. Results are cached.
func (s *Share) encodedChange(have int64) ([]byte, error) {
	var from *routing.Table
	for _, t := range s.earlier {
		if t.Version == have {
			from = t
		}
	}
	if from == nil {
		have = 0
	}
	if encoded := s.encodedChanges[have]; encoded != nil {
		return encoded, nil
	}
	encoded, err := encodeChange(routing.Diff(from, s.newest.Table))
	if err == nil {
		s.encodedChanges[have] = encoded
	}
	return encoded, err
}

// Fetch fetches the configuration of the gateway at an address, as a difference to current, which
// may be nil. It also returns the size of the transferred difference. Errors have code LinkLost if
// the connection fails, LinkBusy if the peer has no version newer than current or no capacity to
// send it, BadFrame if the response is malformed, and InvalidConfig if the difference does not
// apply to current.
func (s *Share) Fetch(ctx context.Context, from netip.AddrPort, current *routing.Table) (v Version, transferredBytes int, err error) {
	defer func() {
		result := "fetched"
		if err != nil {
			result = string(fault.From(err).Code)
		}
		telemetry.Count("merlinpost_config_fetched_total", "result", result)
	}()
	dialCtx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	conn, err := s.dial(dialCtx, "tcp", from.String())
	if err != nil {
		return Version{}, 0, fault.New(fault.LinkLost, "%w", err)
	}
	defer closeOnTimeout(ctx, conn)()
	var request wire.ConfigDeltaRequest
	if current != nil {
		request.HaveVersion = current.Version
	}
	if err := send(conn, &request); err != nil {
		return Version{}, 0, err
	}
	response, err := read[*wire.ConfigDeltaResponse](conn)
	switch {
	case err != nil:
		return Version{}, 0, err
	case response.Busy:
		return Version{}, 0, fault.New(fault.LinkBusy, "peer has no newer version or no capacity to send it")
	}
	change, err := decodeChange(response.Delta)
	if err != nil {
		return Version{}, 0, err
	}
	if change.From == 0 {
		current = nil // the response has the whole configuration
	}
	table, err := current.Apply(change)
	if err != nil {
		return Version{}, 0, err
	}
	return Version{Table: table, Next: logposition.Position{Era: response.Era, Offset: response.Offset}, Bytes: response.SnapshotSize}, len(response.Delta), nil
}
