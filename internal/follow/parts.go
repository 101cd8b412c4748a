package follow

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/merlinpost/merlinpost/internal/configshare"
	"github.com/merlinpost/merlinpost/internal/gateway"
	"github.com/merlinpost/merlinpost/internal/logposition"
	"github.com/merlinpost/merlinpost/internal/peers"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/routing"
)

// Record is the newest value of a key. A nil Value means that the key is gone.
type Record struct {
	Key   string
	Value []byte
}

// Store is what is followed. Its topics hold the newest record of each key for good, and all
// records for a while.
type Store interface {
	// Read returns the records of a topic from a position on, the position of the next one, and
	// the end of the topic, which lies behind it if more records are there than the read
	// returns: up to maxKB, or one record. It waits up to wait for a record to come, and gives
	// up when nothing comes for timeout beside that. Errors have code LogTruncated when the
	// records have been deleted, LogRestored when the position is of an earlier era, else LogDown.
	Read(ctx context.Context, topic string, from logposition.Position, maxKB int, wait, timeout time.Duration) (records []Record, next, end logposition.Position, err error)
	// Newest returns the newest record of each key and the position from which changes are to
	// be read. What comes while it reads may be in both. Errors are as above.
	Newest(ctx context.Context, topic string, timeout time.Duration) (records []Record, next logposition.Position, err error)
	// Put appends a record. After an error it may have been appended or may still be.
	Put(ctx context.Context, topic string, r Record, timeout time.Duration) error
	// PutAt appends a record only if the topic ends at a position; else the error has code Conflict, or
	// LogRestored when the position is of an earlier era.
	PutAt(ctx context.Context, topic string, r Record, at logposition.Position, timeout time.Duration) error
}

// Topics are the names of what is followed.
type Topics struct {
	// Configuration is the topic, and ConfigurationKey the key, of the operator's value.
	Configuration, ConfigurationKey string
	// Servers has an entry for each backend server, by its ID.
	Servers string
	// Gateways is our own: where each gateway is reached by the others.
	Gateways string
	// Quarantine is our own: the requests that ended servers, by their ID.
	Quarantine string
}

// Decoder reads values. Errors have code InvalidConfig and name the field.
type Decoder interface {
	Config(value []byte) (*routing.Table, error)
	Server(id string, value []byte) (*registry.Server, error)
}

// Settings are what the platform promises and asks for.
type Settings struct {
	// Address is that of the store.
	Address string
	// DrainWithin is the time within which a draining backend server must get no
	// more work.
	DrainWithin time.Duration
	// ApplyWithin is the time within which a configuration must be in force.
	ApplyWithin time.Duration
	// RecordBytes is the largest record that the store takes from its users, 0 for not known.
	RecordBytes int
}

// Peers are the other gateways, who share what they have read.
type Peers interface {
	// Rank is the place of this gateway in the order for a topic, 0 first.
	Rank(topic string) int
	// Find records the state that this gateway has read, and since when its calls
	// have been answered without a break.
	ReportState(topic string, state uint64, at, since time.Time)
	// StoreUpSince returns since when another gateway's calls have been answered
	// without a break; zero if none has told.
	StoreUpSince(topic string) time.Time
	// Heard returns the state of the topic that another gateway told last, 0 for none.
	ReportedState(topic string) uint64
	// Versioned makes the states of a topic versions.
	SetVersioned(topic string)
	// Newer returns whether another gateway told a newer state than this one has, who, and
	// when that was the newest.
	NewerState(topic string) (at time.Time, from netip.AddrPort, newer bool)
	// Confirmed returns when this gateway's state was last found to be the newest,
	// and a channel that is closed when another finds a newer one.
	LastConfirmed(topic string) (at time.Time, changed <-chan struct{})
	// Small returns whether this host has a small processor or link against the largest, and
	// whether any has.
	SmallHosts() (self, some bool)
	// SlowestLink returns the slowest link of the live gateways in Mbit/s, 0 for not known.
	SlowestLinkMbps() uint32
	// List takes in the gateways that the store lists; Self is this one.
	AddListed([]peers.Member)
	Self() peers.Member
}

// Parts are what a follower works on.
type Dependencies struct {
	// Connect returns the store at an address.
	Connect func(address string) Store
	Topics  Topics
	Decoder Decoder
	Gateway *gateway.Gateway
	Servers *registry.Registry
	Peers   Peers
	Share   *configshare.Share
	Logger  *slog.Logger
}
