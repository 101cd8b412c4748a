// Package configshare transfers the configuration in force from one gateway to another, as a
// compressed difference to the version that the other one has. One gateway reads the value from the
// store; the others receive only the difference and need not decode the whole value.
//
// This reduces the impact of large values on callers: their links also carry responses to callers,
// and decoding takes CPU time that the smallest hosts lack. A configuration that grows from 2,800
// routes by 1,400 has 887 KB in the store, which take 0.83 to 1.04 s on a link of 10 Mbit/s and
// 0.14 to 0.2 s on 0.144 cores.
//
// The transfer is optional: a gateway that gets no reply, or a reply that its peer is busy, reads
// the store.
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
	// maxEarlierVersions is the number of earlier versions to which a gateway can send the
	// difference. A gateway with an older version receives the whole configuration. Versions share
	// their equal parts in memory.
	maxEarlierVersions = 8
	// idleTimeout is how long a connection may transfer no data: some round trips of at most 6 ms,
	// and the delays of a process with a seventh of a core.
	idleTimeout = 300 * time.Millisecond
	// exchangeTimeout limits the duration of an exchange.
	exchangeTimeout = 5 * time.Second
	// maxSendBacklog is the maximum time for which pending replies may occupy a gateway's link;
	// further peers are told that it is busy and read the store over their own links. At 200
	// Mbit/s, it corresponds to 7.5 MB or 400 differences of 1,400 routes.
	maxSendBacklog = 300 * time.Millisecond
	// maxConns limits the connections from peers. It is far below the limit of file descriptors.
	maxPeerConns = 512
)

// Dial opens a connection to another gateway.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Version is a configuration with its position in the store.
type Version struct {
	Table *routing.Table
	// Next is the position from which to read the store's topic after this version.
	Next logposition.Position
	// Bytes is the size of the configuration in the store.
	Bytes int
}

// Share serves the newest configuration of this gateway to its peers, and fetches theirs. It is
// safe for concurrent use.
type Share struct {
	dial     Dial
	linkMbps float64 // 0 if unknown
	logger   *slog.Logger

	mu             sync.Mutex
	newest         Version
	earlier        []*routing.Table // earlier versions, oldest first
	encodedChanges map[int64][]byte // encoded differences to the newest version, by earlier version
	bytesInFlight  int              // total size of the replies being sent
}

// New returns a share without a version, for a host whose link has the given speed.
func New(dial Dial, linkMbps float64, logger *slog.Logger) *Share {
	return &Share{dial: dial, linkMbps: linkMbps, logger: logger, encodedChanges: map[int64][]byte{}}
}

// Put sets the version in force. It ignores a version that is not newer, except for its position.
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

// Serve answers requests of peers until ctx is done; then it closes ln.
func (s *Share) Serve(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() }) // ends Accept
	defer stop()
	var handlers sync.WaitGroup
	defer handlers.Wait()
	slots := make(chan struct{}, maxPeerConns)
	for {
		conn, err := ln.Accept()
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		case err != nil: // for example if there are no file descriptors left
			s.logger.Error("accepting a connection from a peer failed", "error", err)
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

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 100 * time.Millisecond

func sleepAfterAcceptError(ctx context.Context) {
	timer := time.NewTimer(acceptRetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// handle answers the request on a connection.
func (s *Share) handle(ctx context.Context, conn net.Conn) {
	defer closeOnTimeout(ctx, conn)()
	ask, err := read[*wire.ConfigDeltaRequest](conn)
	if err != nil {
		telemetry.Count("merlinpost_config_handed_total", "result", "broken")
		return
	}
	reply, done := s.prepareResponse(ask.HaveVersion)
	defer done()
	if err := send(conn, reply); err != nil {
		telemetry.Count("merlinpost_config_handed_total", "result", "broken")
		return
	}
	result := "sent"
	if reply.Busy {
		result = "busy"
	}
	telemetry.Count("merlinpost_config_handed_total", "result", result)
	telemetry.Add("merlinpost_config_handed_bytes_total", len(reply.Delta))
}

// prepareReply returns the reply to a peer that has the given version. done must be called when it
// has been sent.
func (s *Share) prepareResponse(have int64) (reply *wire.ConfigDeltaResponse, done func()) {
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
// newest version if the given one is not available. Results are cached.
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

// Fetch requests the configuration of the gateway at an address, which must be newer than have;
// have may be nil. It returns the size of the transferred difference too. Errors have code LinkLost
// if the connection fails, LinkBusy if the peer has no newer version or no capacity, InvalidConfig
// if the difference does not apply to have.
func (s *Share) Fetch(ctx context.Context, from netip.AddrPort, have *routing.Table) (v Version, transferredBytes int, err error) {
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
	var ask wire.ConfigDeltaRequest
	if have != nil {
		ask.HaveVersion = have.Version
	}
	if err := send(conn, &ask); err != nil {
		return Version{}, 0, err
	}
	reply, err := read[*wire.ConfigDeltaResponse](conn)
	switch {
	case err != nil:
		return Version{}, 0, err
	case reply.Busy:
		return Version{}, 0, fault.New(fault.LinkBusy, "peer has no newer version or no capacity to send it")
	}
	change, err := decodeChange(reply.Delta)
	if err != nil {
		return Version{}, 0, err
	}
	if change.From == 0 {
		have = nil
	}
	table, err := have.Apply(change)
	if err != nil {
		return Version{}, 0, err
	}
	return Version{Table: table, Next: logposition.Position{Era: reply.Era, Offset: reply.Offset}, Bytes: reply.SnapshotSize}, len(reply.Delta), nil
}
