// Package configshare hands the configuration in force from one gateway to another, as a
// compressed change against the version that the other has. One gateway has read the value in
// the store; to the others only what differs is carried, and they need not decode the whole.
//
// It gains what a large value costs callers: the links that carry it carry answers as well, and
// decoding takes processor time that the smallest hosts lack. 1,400 routes more than 2,800 are
// 887 KB in the store, 0.83 to 1.04 s of a link of 10 Mbit/s and 0.14 to 0.2 s of 0.144 cores.
//
// Nothing rests on it: who is not answered, or told that the other is busy, reads the store.
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
	// kept is how many versions a gateway knows changes from. Who has an older one is handed
	// the whole. Versions share what did not change.
	kept = 8
	// silence is how long the other end of a connection may bring nothing: some round trips of
	// at most 6 ms and a process with a seventh of a core.
	silence = 300 * time.Millisecond
	// longest bounds an exchange whatever comes.
	longest = 5 * time.Second
	// queue is the longest that a gateway's link may be taken by what it hands on; who asks
	// beyond that reads the store over a link of its own. At 200 Mbit/s 7.5 MB, 400
	// changes of 1,400 routes.
	queue = 300 * time.Millisecond
	// mostConns bounds the connections of others, far below a host's descriptors.
	mostConns = 512
)

// Dial opens a connection to another gateway.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Version is a configuration and where it stands in the store.
type Version struct {
	Table *routing.Table
	// Next is where the store's topic goes on behind it.
	Next logposition.Position
	// Bytes is its size in the store.
	Bytes int
}

// Share hands on the newest version that this gateway has, and fetches those of others. It is
// safe for concurrent use.
type Share struct {
	dial     Dial
	linkMbps float64 // 0: not known
	logger   *slog.Logger

	mu      sync.Mutex
	newest  Version
	earlier []*routing.Table // the versions before, oldest first
	packed  map[int64][]byte // changes to the newest, by the version they are from
	sending int              // bytes of replies on their way
}

// New returns a share without a version, on a host with a link of so many Mbit/s.
func New(dial Dial, linkMbps float64, logger *slog.Logger) *Share {
	return &Share{dial: dial, linkMbps: linkMbps, logger: logger, packed: map[int64][]byte{}}
}

// Put takes in the version in force. An older one is left out.
func (s *Share) Put(v Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if was := s.newest.Table; was != nil && v.Table.Version <= was.Version {
		s.newest.Next = logposition.Later(s.newest.Next, v.Next)
		return
	}
	if s.newest.Table != nil {
		s.earlier = append(s.earlier, s.newest.Table)
		s.earlier = s.earlier[max(0, len(s.earlier)-kept):]
	}
	s.newest = v
	clear(s.packed)
}

// Serve answers other gateways until ctx ends, which closes ln.
func (s *Share) Serve(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() }) // ends Accept
	defer stop()
	var answering sync.WaitGroup
	defer answering.Wait()
	room := make(chan struct{}, mostConns)
	for {
		conn, err := ln.Accept()
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		case err != nil: // such as descriptors that are used up
			s.logger.Error("a gateway can't ask for the configuration", "error", err)
			pause(ctx)
			continue
		}
		select {
		case room <- struct{}{}:
			answering.Go(func() {
				defer func() { <-room }()
				s.answer(ctx, conn)
			})
		default:
			telemetry.Count("merlinpost_config_handed_total", "result", "overrun")
			_ = conn.Close() // the other reads the store
		}
	}
}

// acceptPause is the time after a connection that could not be taken.
const acceptPause = 100 * time.Millisecond

func pause(ctx context.Context) {
	timer := time.NewTimer(acceptPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// answer answers one ask.
func (s *Share) answer(ctx context.Context, conn net.Conn) {
	defer bounded(ctx, conn)()
	ask, err := read[*wire.ConfigDeltaRequest](conn)
	if err != nil {
		telemetry.Count("merlinpost_config_handed_total", "result", "broken")
		return
	}
	reply, done := s.reply(ask.HaveVersion)
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

// reply returns what to answer to who has a version; done ends the sending.
func (s *Share) reply(have int64) (reply *wire.ConfigDeltaResponse, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest.Table == nil || s.newest.Table.Version <= have {
		return &wire.ConfigDeltaResponse{Busy: true}, func() {}
	}
	change, err := s.change(have)
	if err != nil {
		s.logger.Error("a change of the configuration can't be encoded", "error", err)
		return &wire.ConfigDeltaResponse{Busy: true}, func() {}
	}
	if s.linkMbps > 0 && time.Duration(float64(8*(s.sending+len(change)))/(s.linkMbps*1e6)*float64(time.Second)) > queue {
		return &wire.ConfigDeltaResponse{Busy: true}, func() {}
	}
	s.sending += len(change)
	return &wire.ConfigDeltaResponse{Offset: s.newest.Next.Offset, Era: s.newest.Next.Era, SnapshotSize: s.newest.Bytes, Delta: change}, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sending -= len(change)
	}
}

// change returns the packed change from a version to the newest, made when it is first asked
// for.
func (s *Share) change(have int64) ([]byte, error) {
	var from *routing.Table
	for _, t := range s.earlier {
		if t.Version == have {
			from = t
		}
	}
	if from == nil {
		have = 0
	}
	if packed := s.packed[have]; packed != nil {
		return packed, nil
	}
	packed, err := pack(routing.Diff(from, s.newest.Table))
	if err == nil {
		s.packed[have] = packed
	}
	return packed, err
}

// Fetch asks the gateway at an address for its version, which is above that of have; have may
// be nil. Errors have code LinkLost where the other is not reached or breaks off, LinkBusy
// where it has none or no room, InvalidConfig where the change does not fit.
func (s *Share) Fetch(ctx context.Context, from netip.AddrPort, have *routing.Table) (v Version, packedBytes int, err error) {
	defer func() {
		result := "fetched"
		if err != nil {
			result = string(fault.From(err).Code)
		}
		telemetry.Count("merlinpost_config_fetched_total", "result", result)
	}()
	dialling, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	conn, err := s.dial(dialling, "tcp", from.String())
	if err != nil {
		return Version{}, 0, fault.New(fault.LinkLost, "%w", err)
	}
	defer bounded(ctx, conn)()
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
		return Version{}, 0, fault.New(fault.LinkBusy, "it has no newer version or no room to send it")
	}
	change, err := unpack(reply.Delta)
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
