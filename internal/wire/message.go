// Package wire is the protocol between routers and agents, and between gateways that fetch
// the configuration from each other: typed messages, encoded with msgpack, in
// length-prefixed frames over a TCP connection. Fields are encoded by position, so their
// order must not change.
//
// A router dials an agent. Both send Hello first. Every message about a request contains
// the request ID and the attempt number, so that the receiver recognizes messages of an
// earlier link or attempt. Times are sent as durations, never as wall clock times, because
// the clocks of two hosts may differ.
package wire

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Version is the protocol version in Hello. A peer with another version is rejected.
const Version = 1

// Type is the one-byte message type in a frame header.
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

// Kind distinguishes model requests from plain service calls.
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
	Incarnation   string // process identity, changes on restart
	FailureDomain string
	Revision      uint64 // revision of the active configuration
}

// Heartbeat keeps a link alive. Agents include their load, and send a Heartbeat
// immediately when Draining or Serving changes.
type Heartbeat struct {
	Revision uint64
	Load     *Load
	// NextMS is the longest time until the sender's next message. The receiver
	// chooses its read timeout accordingly.
	NextMS int64
}

// Load is the current load of an agent's backend server.
type Load struct {
	Running   []int // by tier
	Slots     int
	Queued    []int // by tier
	ServiceMS int   // measured mean time of a request in a slot
	Draining  bool
	// Serving is the sorted list of loaded targets: "model@version" or a service name.
	// It is nil in OfferResponse and End, which do not report it.
	Serving []string
}

// Offer asks an agent to run a request. The agent replies with an OfferResponse.
type Offer struct {
	ID                 string
	Attempt            uint32
	Kind               Kind
	Endpoint           string // path at the backend server
	Team               string
	Class              string
	Tier               uint8
	Floor              float64 // minimum share of tokens guaranteed to the class's tier
	Target             string  // "model@version", or service name
	FirstTokenTargetMS int64   // 0: no target
	StartTimeoutMS     int64   // the request expires if it has not started by then
	RunTimeoutMS       int64   // for the complete answer
	Retryable          bool    // false: the request runs at most once
	Preemptible        bool
	IdempotencyKey     string // scoped by team and service
	BodyDigest         uint64 // detects different bodies under the same key
	KeyRetentionMS     int64  // how long the key is kept
	Body               []byte
	MaxTokens          int
	ChunksDelivered    uint32 // chunks already delivered to the caller
	DeliveredText      string // text of these chunks
	SendWindow         uint32 // chunks that may be sent without acknowledgement
	ContentType        string
}

// OfferResponse accepts (Fault is nil) or refuses an Offer. After a refusal the attempt has
// not run, and the agent will not run it later.
type OfferResponse struct {
	ID      string
	Attempt uint32
	Fault   *Fault
	Load    *Load
}

// Chunk carries a part of an answer. Seq starts at Offer.ChunksDelivered.
type Chunk struct {
	ID      string
	Attempt uint32
	Seq     uint32
	Data    []byte
}

// End completes an answer. Total is the number of chunks in the whole answer,
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

// Ack acknowledges the chunks below Next: the agent may discard them and advance its
// send window.
type Ack struct {
	ID      string
	Attempt uint32
	Next    uint32
	Final   bool // the End was received, so the agent may discard the answer
}

// Cancel cancels an attempt. The agent replies with Cancelled.
type Cancel struct {
	ID      string
	Attempt uint32
	AgeMS   int64 // since the attempt was offered
}

// Cancelled replies to a Cancel. If Ran is false, the attempt has not run and never will.
type Cancelled struct {
	ID      string
	Attempt uint32
	Ran     bool
}

// Resume asks the agent to continue an answer from chunk Next over this link. An agent
// that does not hold the attempt replies with an OfferResponse with code RequestNotHeld,
// and refuses the attempt from then on.
type Resume struct {
	ID      string
	Attempt uint32
	Next    uint32
	AgeMS   int64 // since the attempt was offered
}

// ConfigRequest asks the peer for its configuration if its revision is above NewerThan.
type ConfigRequest struct{ NewerThan uint64 }

// ConfigSnapshot carries a snapshot of the sender's configuration. Empty Data means that
// the sender has no newer revision.
type ConfigSnapshot struct {
	Revision uint64
	Data     []byte
}

// ClaimRequest asks a witness to record that Holder is about to run the call with an
// idempotency key.
type ClaimRequest struct {
	Seq         uint64
	Key         string
	Holder      string // "agent/incarnation"
	Digest      uint64
	RetentionMS int64
}

// ClaimResult is a witness's decision on a ClaimRequest.
type ClaimResult uint8

const (
	ClaimGranted  ClaimResult = iota // key recorded for this holder
	ClaimTaken                       // key already recorded for another holder
	ClaimNotReady                    // witness may have lost earlier records in a restart
)

// ClaimResponse replies to a ClaimRequest.
type ClaimResponse struct {
	Seq          uint64
	Result       ClaimResult
	RetryAfterMS int64 // until a witness that is not ready can decide
}

// Fault is the encoding of a fault.Error.
type Fault struct {
	Code         string
	Outcome      string
	Field        string
	Message      string
	RetryAfterMS int64
}

// EncodeFault encodes a typed error; nil for a nil error.
func EncodeFault(e *fault.Error) *Fault {
	if e == nil {
		return nil
	}
	return &Fault{string(e.Code), string(e.Outcome), e.Field, e.Message, e.RetryAfter.Milliseconds()}
}

// Err decodes the typed error; nil for a nil Fault.
func (f *Fault) Err() *fault.Error {
	if f == nil {
		return nil
	}
	return &fault.Error{Code: fault.Code(f.Code), Outcome: fault.Outcome(f.Outcome), Field: f.Field,
		Message: f.Message, RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond}
}

// ConfigDeltaRequest asks another gateway for its configuration, as a delta against the
// version that the sender has; 0 if it has none.
type ConfigDeltaRequest struct{ HaveVersion int64 }

// ConfigDeltaResponse replies to a ConfigDeltaRequest.
type ConfigDeltaResponse struct {
	// Busy tells the requesting gateway to read the store instead.
	Busy bool
	// Offset is the offset in the store's topic that follows the version. It is valid only
	// within the given era of the store.
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
