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

// Record is a record of a keyed topic. A nil Value marks the removal of the key.
type Record struct {
	Key   string
	Value []byte
}

// Store is the metadata store. Its topics retain the newest record of each key permanently, and all
// other records for a limited time.
type Store interface {
	// Read returns the records of a topic from a position on, the position of the next record, and
	// the end of the topic, which is greater if there are more records than one read returns: up to
	// maxKB, or a single larger record. It waits up to wait for a record to be written, and fails
	// if no data arrives for timeout beyond that. Errors have code LogTruncated if the records have
	// been deleted, LogRestored if the position is of an earlier era, otherwise LogUnavailable.
	Read(ctx context.Context, topic string, from logposition.Position, maxKB int, wait, timeout time.Duration) (records []Record, next, end logposition.Position, err error)
	// Newest returns the newest record of each key and the position from which to read changes.
	// Records written during the call may be returned by both. Errors have the codes of Read.
	Newest(ctx context.Context, topic string, timeout time.Duration) (records []Record, next logposition.Position, err error)
	// Put appends a record. After an error the record may have been appended, or may be appended
	// later.
	Put(ctx context.Context, topic string, r Record, timeout time.Duration) error
	// PutAt appends a record only if the topic ends at the position. Otherwise the error has code
	// RevisionConflict, or LogRestored if the position is of an earlier era.
	PutAt(ctx context.Context, topic string, r Record, at logposition.Position, timeout time.Duration) error
}

// Topics are the names of the topics that gateways use.
type Topics struct {
	// Configuration and ConfigurationKey are the topic and the key of the operator's configuration.
	Configuration, ConfigurationKey string
	// Servers is the topic with an entry for each backend server, by server ID.
	Servers string
	// Gateways is the topic with the peer address of each gateway. It is written by the gateways.
	Gateways string
	// Quarantine is the topic with the requests that caused servers to fail, by request digest. It
	// is written by the gateways.
	Quarantine string
}

// Decoder decodes values. Errors have code InvalidConfig and name the field.
type Decoder interface {
	Config(value []byte) (*routing.Table, error)
	Server(id string, value []byte) (*registry.Server, error)
}

// Settings are the platform's settings for following the store.
type Settings struct {
	// Address is the address of the store.
	Address string
	// DrainWithin is the time within which a draining backend server must stop receiving new
	// requests.
	DrainWithin time.Duration
	// ApplyWithin is the time within which a new configuration must be active.
	ApplyWithin time.Duration
	// RecordBytes is the maximum record size that the store accepts from its users, 0 if unknown.
	RecordBytes int
}

// Peers gives access to the other gateways, which share the state that they have read.
type Peers interface {
	// Rank returns the position of this gateway in the read order of a topic. The gateway with rank
	// 0 is the primary reader.
	Rank(topic string) int
	// ReportState sets what is reported to the other gateways: the state that this gateway has, the
	// time at which it was the newest, and since when calls of the store have succeeded without
	// interruption.
	ReportState(topic string, state uint64, at, availableSince time.Time)
	// StoreUpSince returns since when another gateway's calls of the store have succeeded without
	// interruption; zero if no gateway has reported it.
	StoreUpSince(topic string) time.Time
	// ReportedState returns the newest state of the topic that another gateway has reported, 0 if
	// there is none.
	ReportedState(topic string) uint64
	// SetVersioned declares that the states of a topic are ordered version numbers.
	SetVersioned(topic string)
	// NewerState returns whether another gateway has reported a newer state than this gateway has,
	// the time at which that state was known to be the newest, and the address of that gateway.
	NewerState(topic string) (at time.Time, from netip.AddrPort, newer bool)
	// LastConfirmed returns when this gateway's state was last confirmed to be the newest, and a
	// channel that is closed when another gateway reports a newer one.
	LastConfirmed(topic string) (at time.Time, changed <-chan struct{})
	// SmallHosts returns whether this host has much less CPU or bandwidth than the largest host,
	// and whether this is true of any live host.
	SmallHosts() (self, anyHost bool)
	// SlowestLinkMbps returns the speed of the slowest link of the live gateways in Mbit/s, 0 if
	// unknown.
	SlowestLinkMbps() uint32
	// AddListed adds the gateways that are registered in the store to the known ones.
	AddListed([]peers.Member)
	// Self returns this gateway.
	Self() peers.Member
}

// Dependencies are the components that a Follower uses.
type Dependencies struct {
	// Connect returns a client of the store at an address.
	Connect func(address string) Store
	Topics  Topics
	Decoder Decoder
	Gateway *gateway.Gateway
	Servers *registry.Registry
	Peers   Peers
	Share   *configshare.Share
	Logger  *slog.Logger
}
