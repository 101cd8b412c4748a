// Package wire defines the protocol between routers and agents, and between gateways that
// fetch the configuration from each other. Typed messages are encoded with msgpack and sent
// in length-prefixed frames over a TCP connection. Struct fields are encoded by position, so
// their order must not change.
//
// Routers dial agents. Both ends send Hello first. Every message about a request contains
// the request ID and the attempt number, so that the receiver can detect messages of an
// earlier link or attempt. Times are sent as durations and not as wall clock times, because
// the clocks of two hosts may differ.
package wire

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Version is the protocol version sent in Hello. Peers with another version are rejected.
const Version = 1

// Type is the message type in a frame header.
type Type uint8

const (
	TypeHello Type = iota + 1
	TypeHeartbeat
	TypeOffer
	TypeOfferResponse
	TypeChunk
	TypeEnd
	TypeAck
	TypeCancel
	TypeCancelled
	TypeResume
	TypeConfigRequest
	TypeConfigSnapshot
	TypeClaimRequest
	TypeClaimResponse
	TypeConfigDeltaRequest
	TypeConfigDeltaResponse
)

// Message is any message of the protocol.
type Message interface{ Type() Type }

// Kind distinguishes requests to a model from calls of a plain service.
type Kind uint8

const (
	KindGenerate Kind = iota
	KindService
)

// Hello is the first message in each direction of a link.
type Hello struct {
	Version       int
	Role          string // "router" or "agent"
	Name          string
	Incarnation   string // identifies the process; changes on every restart
	FailureDomain string
	Revision      uint64 // revision of the active configuration
}

// Heartbeat keeps a link alive. Agents include their load, and send a Heartbeat
// immediately after a change of Load.Draining or Load.Serving.
type Heartbeat struct {
	Revision uint64
	Load     *Load
	// NextMS is the maximum time until the sender's next message. The receiver sets
	// its read timeout accordingly.
	NextMS int64
}

// Load is the current load of an agent's backend server.
type Load struct {
	Running   []int // by tier
	Slots     int
	Queued    []int // by tier
	ServiceMS int   // measured mean time that a request occupies a slot
	Draining  bool
	// Serving is the sorted list of loaded targets, each "model@version" or a service
	// name. It is nil in OfferResponse and End, which do not report it.
	Serving []string
}

// Offer asks an agent to run a request. The agent replies with an OfferResponse.
type Offer struct {
	ID                 string
	Attempt            uint32
	Kind               Kind
	Endpoint           string // URL path at the backend server
	Team               string
	Class              string
	Tier               uint8
	Floor              float64 // minimum share of tokens guaranteed to the class's tier
	Target             string  // "model@version" or service name
	FirstTokenTargetMS int64   // 0: no target
	StartTimeoutMS     int64   // the request expires if it has not started by then
	RunTimeoutMS       int64   // for the complete answer
	Retryable          bool    // false: the request may run at most once
	Preemptible        bool
	IdempotencyKey     string // scoped by team and service
	BodyDigest         uint64 // detects different bodies with the same key
	KeyRetentionMS     int64  // how long the key is remembered
	Body               []byte
	MaxTokens          int
	ChunksDelivered    uint32 // chunks already delivered to the caller
	DeliveredText      string // text of the delivered chunks
	SendWindow         uint32 // chunks that may be sent without acknowledgement
	ContentType        string
}

// OfferResponse accepts an Offer, if Fault is nil, or refuses it. A refused attempt has not
// run, and the agent will not run it later.
type OfferResponse struct {
	ID      string
	Attempt uint32
	Fault   *Fault
	Load    *Load
}

// Chunk carries a part of an answer. The first Seq of an attempt is Offer.ChunksDelivered.
type Chunk struct {
	ID      string
	Attempt uint32
	Seq     uint32
	Data    []byte
}

// End is the last message of an attempt. Total is the number of chunks in the whole answer,
// including those delivered by earlier attempts.
type End struct {
	ID           string
	Attempt      uint32
	Total        uint32
	FinishReason string // as reported by the engine
	PromptTokens int
	OutputTokens int
	Status       int    // HTTP status, plain service only
	ContentType  string // plain service only
	Fault        *Fault
	Load         *Load
}

// Ack acknowledges all chunks with a Seq below Next. The agent may discard them and advance
// its send window.
type Ack struct {
	ID      string
	Attempt uint32
	Next    uint32
	Final   bool // End was received, so the agent may discard the answer
}

// Cancel cancels an attempt. The agent replies with Cancelled.
type Cancel struct {
	ID      string
	Attempt uint32
	AgeMS   int64 // since the attempt was offered
}

// Cancelled replies to a Cancel. If Ran is false, the attempt has not run and will not run
// later.
type Cancelled struct {
	ID      string
	Attempt uint32
	Ran     bool
}

// Resume asks the agent to send the answer from chunk Next on over this link. An agent
// that does not have the attempt replies with an OfferResponse with code RequestNotHeld,
// and refuses the attempt if it is offered later.
type Resume struct {
	ID      string
	Attempt uint32
	Next    uint32
	AgeMS   int64 // since the attempt was offered
}

// ConfigRequest asks the peer for its configuration if its revision is higher than
// NewerThan.
type ConfigRequest struct{ NewerThan uint64 }

// ConfigSnapshot carries a snapshot of the sender's configuration. Empty Data means that
// the sender has no newer revision.
type ConfigSnapshot struct {
	Revision uint64
	Data     []byte
}

// ClaimRequest asks the witness of an idempotency key to record that Holder is about to run
// the call with the key.
type ClaimRequest struct {
	Seq         uint64
	Key         string
	Holder      string // "agent/incarnation"
	Digest      uint64
	RetentionMS int64
}

// ClaimResult is the decision of a witness on a ClaimRequest.
type ClaimResult uint8

const (
	ClaimGranted  ClaimResult = iota // the key is recorded for this holder
	ClaimTaken                       // the key may have been used before
	ClaimNotReady                    // the records of the witness may be incomplete, e.g. after a restart
)

// ClaimResponse replies to a ClaimRequest.
type ClaimResponse struct {
	Seq          uint64
	Result       ClaimResult
	RetryAfterMS int64 // with ClaimNotReady: until the records of the witness are complete
}

// Fault is the encoding of a fault.Error.
type Fault struct {
	Code         string
	Outcome      string
	Field        string
	Message      string
	RetryAfterMS int64
}

// EncodeFault returns the encoding of e, or nil if e is nil.
func EncodeFault(e *fault.Error) *Fault {
	if e == nil {
		return nil
	}
	return &Fault{string(e.Code), string(e.Outcome), e.Field, e.Message, e.RetryAfter.Milliseconds()}
}

// Err returns the decoded error, or nil if f is nil.
func (f *Fault) Err() *fault.Error {
	if f == nil {
		return nil
	}
	return &fault.Error{Code: fault.Code(f.Code), Outcome: fault.Outcome(f.Outcome), Field: f.Field,
		Message: f.Message, RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond}
}

// ConfigDeltaRequest asks another gateway for its configuration as a delta against the
// version that the sender has. HaveVersion is 0 if it has none.
type ConfigDeltaRequest struct{ HaveVersion int64 }

// ConfigDeltaResponse replies to a ConfigDeltaRequest.
type ConfigDeltaResponse struct {
	// Busy means that the sender has no newer version or cannot send it now. The
	// requesting gateway reads the configuration from the store instead.
	Busy bool
	// Offset is the offset after the version in the topic of the store. It is valid
	// only within the given Era of the store.
	Offset int64
	Era    int64
	// SnapshotSize is the size of the version in the store, in bytes.
	SnapshotSize int
	// Delta is a routing.Change, encoded with msgpack and compressed with deflate.
	Delta []byte
}

func (*Hello) Type() Type               { return TypeHello }
func (*Heartbeat) Type() Type           { return TypeHeartbeat }
func (*Offer) Type() Type               { return TypeOffer }
func (*OfferResponse) Type() Type       { return TypeOfferResponse }
func (*Chunk) Type() Type               { return TypeChunk }
func (*End) Type() Type                 { return TypeEnd }
func (*Ack) Type() Type                 { return TypeAck }
func (*Cancel) Type() Type              { return TypeCancel }
func (*Cancelled) Type() Type           { return TypeCancelled }
func (*Resume) Type() Type              { return TypeResume }
func (*ConfigRequest) Type() Type       { return TypeConfigRequest }
func (*ConfigSnapshot) Type() Type      { return TypeConfigSnapshot }
func (*ClaimRequest) Type() Type        { return TypeClaimRequest }
func (*ClaimResponse) Type() Type       { return TypeClaimResponse }
func (*ConfigDeltaRequest) Type() Type  { return TypeConfigDeltaRequest }
func (*ConfigDeltaResponse) Type() Type { return TypeConfigDeltaResponse }

func newMessage(t Type) Message {
	switch t {
	case TypeHello:
		return new(Hello)
	case TypeHeartbeat:
		return new(Heartbeat)
	case TypeOffer:
		return new(Offer)
	case TypeOfferResponse:
		return new(OfferResponse)
	case TypeChunk:
		return new(Chunk)
	case TypeEnd:
		return new(End)
	case TypeAck:
		return new(Ack)
	case TypeCancel:
		return new(Cancel)
	case TypeCancelled:
		return new(Cancelled)
	case TypeResume:
		return new(Resume)
	case TypeConfigRequest:
		return new(ConfigRequest)
	case TypeConfigSnapshot:
		return new(ConfigSnapshot)
	case TypeClaimRequest:
		return new(ClaimRequest)
	case TypeClaimResponse:
		return new(ClaimResponse)
	case TypeConfigDeltaRequest:
		return new(ConfigDeltaRequest)
	case TypeConfigDeltaResponse:
		return new(ConfigDeltaResponse)
	}
	return nil
}
