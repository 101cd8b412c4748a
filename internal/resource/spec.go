// Package resource defines the configuration: the kinds of resources, their
// validation, and the replicated state machine that applies log records. It is
// deterministic: every process that applies the same records reaches the same
// state.
package resource

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"slices"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/settings"
)

// Kind is a kind of resource.
type Kind string

const (
	KindClass   Kind = "class"
	KindTeam    Kind = "team"
	KindPool    Kind = "pool"
	KindModel   Kind = "model"
	KindService Kind = "service"
	KindRollout Kind = "rollout"
)

// Kinds lists all kinds in dependency order: each references only earlier ones.
var Kinds = []Kind{KindClass, KindPool, KindModel, KindService, KindTeam, KindRollout}

// NumTiers is the number of service tiers; 0 is the highest.
const NumTiers = 5

// BaseVersion is the version of a model that receives the traffic not assigned
// to any rollout.
const BaseVersion = "base"

// Spec is the typed content of a resource.
type Spec interface {
	// References returns the resources that this one refers to.
	References() []Ref
	check() *fault.Error
}

// Ref identifies a resource.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Class is a request class with its service level.
type Class struct {
	// Tier is the service tier, which sets the priority under load; 0 is the
	// highest.
	Tier int `json:"tier" validate:"min=0,max=4"`
	// FirstTokenMS, BetweenTokensMS and TotalMS are latency targets in
	// milliseconds; 0 means no target.
	FirstTokenMS    int `json:"first_token_ms" validate:"min=0,max=86400000"`
	BetweenTokensMS int `json:"between_tokens_ms" validate:"min=0,max=86400000"`
	TotalMS         int `json:"total_ms" validate:"min=0,max=86400000"`
	// MaxWaitMS is how long a request may wait to be started before it is
	// rejected, in milliseconds.
	MaxWaitMS int `json:"max_wait_ms" validate:"min=10,max=86400000"`
	// MaxRunMS limits the total duration of a request, in milliseconds.
	MaxRunMS int `json:"max_run_ms" validate:"min=10,max=86400000"`
	// Floor is the minimum share of a backend server's tokens that the class
	// gets while it has queued requests. It is not enforced where a request of
	// a higher tier would be rejected because of it.
	Floor float64 `json:"floor" validate:"min=0,max=0.5"`
	// Preemptible allows a higher tier to preempt a running request. A preempted
	// request is resumed later from where it stopped.
	Preemptible bool `json:"preemptible"`
	// MaxTokens limits the length of a response.
	MaxTokens int `json:"max_tokens" validate:"min=1,max=1000000"`
}

// Team is a customer of the platform.
type Team struct {
	// KeysSHA256 are the SHA-256 hashes of the team's API keys, in hexadecimal.
	KeysSHA256   []string `json:"keys_sha256" validate:"min=1,max=16,dive,len=64,hexadecimal,lowercase"`
	DefaultClass string   `json:"default_class" validate:"required"`
	// Classes are the classes that the team may request besides DefaultClass.
	Classes []string `json:"classes,omitempty" validate:"max=64"`
	// Rate limits requests per second across all routers; 0 means no limit.
	// Burst is the size of the token bucket that enforces it.
	Rate  float64 `json:"rate" validate:"min=0,max=1000000"`
	Burst int     `json:"burst" validate:"min=0,max=1000000"`
	// Concurrency limits requests in progress across all routers; 0 means no
	// limit.
	Concurrency int `json:"concurrency" validate:"min=0,max=1000000"`
}

// Server is a backend server of a pool, with the address of its agent.
type Server struct {
	Name          string `json:"name" validate:"required,max=128"`
	Agent         string `json:"agent" validate:"required,ipport"`
	FailureDomain string `json:"failure_domain" validate:"required,max=128"`
}

// Pool is a set of declared backend servers. Their liveness is not part of the
// configuration.
type Pool struct {
	Servers []Server `json:"servers" validate:"min=1,max=4096,unique=Name,unique=Agent,dive"`
}

// Model is a model that callers can request by name.
type Model struct {
	Pool string `json:"pool" validate:"required"`
}

// Service is an HTTP service other than a model, to which calls are routed.
type Service struct {
	Pool string `json:"pool" validate:"required"`
	// Path is the URL path of the service on the backend server.
	Path string `json:"path" validate:"required,startswith=/"`
	// MayRepeat marks the service as idempotent: a call may run more than once.
	// Calls of other services need an idempotency key.
	MayRepeat bool `json:"may_repeat"`
	// KeyWindowMS is the retention period of idempotency keys, in milliseconds.
	KeyWindowMS int `json:"key_window_ms" validate:"min=0,max=86400000"`
}

// Rollout assigns a share of a model's traffic to one of its versions, which may
// be an adapter.
type Rollout struct {
	Model   string `json:"model" validate:"required"`
	Version string `json:"version" validate:"required,max=64,ne=base"`
	// Adapter marks a version that is an adapter applied to the base weights.
	Adapter bool `json:"adapter"`
	// SharePercent is the version's share of the model's requests. With 0 the
	// version is loaded but gets no requests.
	SharePercent float64 `json:"share_percent" validate:"min=0,max=100"`
}

// References implements Spec.
func (*Class) References() []Ref { return nil }

// References implements Spec.
func (t *Team) References() []Ref {
	refs := []Ref{{KindClass, t.DefaultClass}}
	for _, c := range t.Classes {
		refs = append(refs, Ref{KindClass, c})
	}
	return refs
}

// References implements Spec.
func (*Pool) References() []Ref { return nil }

// References implements Spec.
func (m *Model) References() []Ref { return []Ref{{KindPool, m.Pool}} }

// References implements Spec.
func (s *Service) References() []Ref { return []Ref{{KindPool, s.Pool}} }

// References implements Spec.
func (r *Rollout) References() []Ref { return []Ref{{KindModel, r.Model}} }

func (c *Class) check() *fault.Error {
	if c.MaxRunMS < c.MaxWaitMS {
		return invalid("max_run_ms", "%d is below max_wait_ms %d", c.MaxRunMS, c.MaxWaitMS)
	}
	if c.Tier == 0 && c.Preemptible {
		return invalid("preemptible", "the top tier is never preempted")
	}
	return nil
}

func (t *Team) check() *fault.Error {
	if t.Rate > 0 && t.Burst < 1 {
		return invalid("burst", "a rate needs a burst of at least 1")
	}
	return nil
}

func (*Pool) check() *fault.Error  { return nil }
func (*Model) check() *fault.Error { return nil }

func (s *Service) check() *fault.Error {
	if !s.MayRepeat && s.KeyWindowMS == 0 {
		return invalid("key_window_ms", "a service whose calls may not be repeated needs a key window")
	}
	return nil
}

func (*Rollout) check() *fault.Error { return nil }

// AllowsClass reports whether the team may use the named class.
func (t *Team) AllowsClass(name string) bool {
	return name == t.DefaultClass || slices.Contains(t.Classes, name)
}

func invalid(field, format string, args ...any) *fault.Error {
	return fault.New(fault.InvalidConfig, format, args...).WithField(field)
}

var (
	validate    = settings.NewValidator("json")
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,126}[a-z0-9])?$`)
)

// ParseKind returns the Kind with the given name.
func ParseKind(s string) (Kind, error) {
	if k := Kind(s); slices.Contains(Kinds, k) {
		return k, nil
	}
	return "", fault.New(fault.NotFound, "unknown kind %q, must be one of %v", s, Kinds).WithField("kind")
}

func newSpec(k Kind) Spec {
	switch k {
	case KindClass:
		return new(Class)
	case KindTeam:
		return new(Team)
	case KindPool:
		return new(Pool)
	case KindModel:
		return new(Model)
	case KindService:
		return new(Service)
	case KindRollout:
		return new(Rollout)
	}
	return nil
}

// ParseSpec decodes and validates the JSON spec of a resource. It rejects
// unknown fields. Errors have code InvalidConfig and the field's path.
func ParseSpec(k Kind, name string, data []byte) (Spec, error) {
	spec := newSpec(k)
	if spec == nil {
		return nil, invalid("kind", "no kind %q", k)
	}
	if !namePattern.MatchString(name) {
		return nil, invalid("name", "%q is not a name: lower-case letters, digits and ._- , at most 128", name)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(spec); err != nil {
		return nil, decodeError(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, invalid("spec", "more than one JSON value")
	}
	if e := settings.FieldError(fault.InvalidConfig, validate.Struct(spec)); e != nil {
		return nil, e
	}
	if e := spec.check(); e != nil {
		return nil, e
	}
	return spec, nil
}

var unknownFieldPattern = regexp.MustCompile(`unknown field "([^"]*)"`)

func decodeError(err error) *fault.Error {
	e := fault.New(fault.InvalidConfig, "%w", err).WithField("spec")
	if typed, ok := err.(*json.UnmarshalTypeError); ok && typed.Field != "" {
		return e.WithField(typed.Field)
	}
	if m := unknownFieldPattern.FindStringSubmatch(err.Error()); m != nil {
		return e.WithField(m[1])
	}
	return e
}
