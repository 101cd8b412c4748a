// Package wire is the protocol between a router and an agent, and of gateways that ask each
// other for the configuration: typed messages, encoded with msgpack, in length-prefixed
// frames over one TCP connection.
//
// A router dials an agent. Both send Hello first. Every later message names
// the request and the attempt it belongs to, so that a message of an old link
// or an old attempt can be told apart. Durations are remaining times, never
// wall clocks: the clocks of two hosts are not compared.
package wire

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Version is the protocol version in Hello. A peer with another one is refused.
const Version = 1

// Type is the one-byte message type in a frame header.
type Type uint8

// The message types.
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

// Kind tells a model request from a plain service call.
type Kind uint8

// The kinds of work.
const (
	KindGenerate Kind = iota
	KindService
)

// Hello opens a link in both directions.
type Hello struct {
	Version       int
	Role          string // "router" or "agent"
	Name          string
	Incarnation   string // identity of the process; a restart changes it
	FailureDomain string // failure domain
	Revision      uint64 // configuration in force
}

// Beat is the heartbeat. Agents put their load into it; a Beat is also sent at
// once when the load's Draining or Serving changes.
type Heartbeat struct {
	Revision uint64
	Load     *Load
	// NextMS is the longest time until the sender sends again. The receiver
	// takes a longer silence for a broken link.
	NextMS int64
}

// Load is what an agent knows of its backend server at this moment.
type Load struct {
	Running   []int // by tier
	Slots     int
	Queued    []int // by tier
	ServiceMS int   // measured mean time of a request in a slot, milliseconds
	Draining  bool
	// Serving lists the targets loaded, "model@version" or a service's name,
	// sorted; nil in a Verdict or End, which do not say.
	Serving []string
}

// Offer hands a request to an agent. The agent answers with a Verdict.
type Offer struct {
	ID                 string
	Attempt            uint32
	Kind               Kind
	Endpoint           string // path at the backend server
	Team               string
	Class              string
	Tier               uint8
	Floor              float64 // share of tokens that the class's tier is owed
	Target             string  // "model@version", or service name
	FirstTokenTargetMS int64   // target to the first token, 0: none
	StartTimeoutMS     int64   // given up on if it could not start within this
	RunTimeoutMS       int64   // the whole answer is due within this
	Retryable          bool    // false: runs at most once
	Preemptible        bool
	IdempotencyKey     string // idempotency key, scoped by team and service
	BodyDigest         uint64 // of Body, to find two bodies under one key
	KeyRetentionMS     int64  // how long a key is remembered
	Body               []byte
	MaxTokens          int
	ChunksDelivered    uint32 // chunks already delivered to the caller
	DeliveredText      string // their text
	SendWindow         uint32 // chunks that may be sent ahead of acknowledgement
	ContentType        string
}

// Verdict answers an Offer: accepted (Fault nil) or refused. A refusal means
// not run, and the agent will not run this attempt later either.
type OfferResponse struct {
	ID      string
	Attempt uint32
	Fault   *Fault
	Load    *Load
}

// Chunk carries one numbered piece of an answer. Numbers start at Offer.Done.
type Chunk struct {
	ID      string
	Attempt uint32
	Seq     uint32
	Data    []byte
}

// End closes an answer. Total is the number of chunks of the whole answer,
// those delivered by earlier attempts included.
type End struct {
	ID           string
	Attempt      uint32
	Total        uint32
	FinishReason string // engine's finish reason
	PromptTokens int
	OutputTokens int
	Status       int    // plain service: HTTP status
	ContentType  string // plain service
	Fault        *Fault
	Load         *Load
}

// Ack lets the agent forget chunks below Next and opens its window.
type Ack struct {
	ID      string
	Attempt uint32
	Next    uint32
	Final   bool // the End was received: the answer may be forgotten
}

// Cancel withdraws an attempt; the agent answers with Cancelled.
type Cancel struct {
	ID      string
	Attempt uint32
	AgeMS   int64 // since the attempt was offered
}

// Cancelled says what a Cancel met. Ran false means not run, now or later.
type Cancelled struct {
	ID      string
	Attempt uint32
	Ran     bool
}

// Resume asks for an answer to go on at chunk Next over this link. An agent
// that does not hold the attempt answers with a Verdict of code NotHeld and
// refuses the attempt from then on.
type Resume struct {
	ID      string
	Attempt uint32
	Next    uint32
	AgeMS   int64 // since the attempt was offered
}

// ConfigPull asks the peer for its configuration if newer than Above.
type ConfigRequest struct{ NewerThan uint64 }

// ConfigState carries a snapshot of a peer's configuration. Empty Data means
// that the peer has nothing newer.
type ConfigSnapshot struct {
	Revision uint64
	Data     []byte
}

// Claim asks a witness to record that Holder is about to run the call of an
// idempotency key.
type ClaimRequest struct {
	Seq         uint64
	Key         string
	Holder      string // "agent/incarnation"
	Digest      uint64
	RetentionMS int64
}

// ClaimState is a witness's word on a key.
type ClaimResult uint8

// The words of a witness.
const (
	ClaimGranted ClaimResult = iota // recorded for this holder
	ClaimTaken                      // another holder had it first
	ClaimNotReady
)

// Claimed answers a Claim.
type ClaimResponse struct {
	Seq          uint64
	Result       ClaimResult
	RetryAfterMS int64 // until the witness can vouch
}

// Fault is a fault.Error on the wire.
type Fault struct {
	Code         string
	Outcome      string
	Field        string
	Message      string
	RetryAfterMS int64
}

// FaultOf encodes a typed error.
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

// TableAsk asks another gateway for its configuration, as a change against the version that
// the asker has; 0 for none.
type ConfigDeltaRequest struct{ HaveVersion int64 }

// TableReply answers a TableAsk.
type ConfigDeltaResponse struct {
	// Busy says that the asker should read the store instead.
	Busy bool
	// Offset is where the store's topic goes on behind the version, in an era of the store.
	Offset int64
	Era    int64
	// Bytes is the size of the version in the store.
	SnapshotSize int
	// Change is a routing.Change, encoded with msgpack and compressed with deflate.
	Delta []byte
}

// Type methods.
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
