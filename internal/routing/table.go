// Package routing holds the routes and teams that a gateway has in
// force: one immutable Table a configuration version, checked as a whole when
// it is built.
package routing

import (
	"strings"
	"time"
	"unicode/utf8"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Kind says what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent
	// Streaming answers are event streams; they run at most once unless the
	// route allows resumption.
	Streaming
)

// Route maps requests to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout is the longest time that the operator lets a request wait.
	Timeout time.Duration
	// TargetLatency is the time to a whole answer, or to a stream's first event,
	// that earns full credit.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events that is still on time.
	TargetGap time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the backend servers to which one attempt of a caller is
	// sent.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// PrefixAffinity marks routes whose requests describe their prompt.
	PrefixAffinity bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	Targets   []Target

	totalWeight int
	digest      uint64 // of the fields above
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Service returns the service for a draw, which is uniform over all uint64.
func (r *Route) Service(draw uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	at := int(draw % uint64(r.totalWeight))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Team is a caller with keys of its own.
type Team struct {
	Name string
	// Priority, when set, goes before the priority of the route.
	Priority *int
}

// Limits bound what a caller may send; 0 means that no bound is set.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Engine is what the operator states of the engines of a model service. A zero is not
// stated.
type Engine struct {
	// Memory is the number of tokens that running requests and cached parts share.
	Memory int
	// EventTokens is the number of generated tokens in one event of a stream.
	EventTokens int
}

// Table is one version of the configuration. It does not change after New.
type Table struct {
	Version int64
	Limits  Limits

	hosts   map[string]map[string]*Route // by host and path prefix
	engines map[string]Engine            // by service
	teams   map[string]*Team             // by key
	keyed   bool
	// routesDigest and keysDigest are the sums over the routes' and the keys' digests.
	routesDigest, keysDigest uint64
}

// Contents are what a Table is built from.
type Contents struct {
	Version int64
	Limits  Limits
	Routes  []Route
	// Engines are the facts about the engines of model services, by service.
	Engines map[string]Engine
	// Teams maps each key to its team. A nil map means that no route asks for a
	// key.
	Teams map[string]*Team
}

// New checks the contents and builds the table. Errors have code InvalidConfig
// and name the field at fault.
func New(c Contents) (*Table, error) {
	t := &Table{
		Version: c.Version, Limits: c.Limits, keyed: c.Teams != nil,
		hosts: map[string]map[string]*Route{}, engines: c.Engines,
	}
	for i := range c.Routes {
		if err := c.Routes[i].check(); err != nil {
			return nil, err
		}
		t.put(&c.Routes[i])
	}
	for key, team := range c.Teams {
		t.putKey(key, team)
	}
	return t, nil
}

func (r *Route) check() error {
	invalid := func(field, format string, args ...any) error {
		return fault.New(fault.InvalidConfig, format, args...).WithField("routes." + r.Name + "." + field)
	}
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") || !utf8.ValidString(r.PathPrefix):
		return invalid("path_prefix", "%q must begin and end with a slash", r.PathPrefix)
	case r.Timeout <= 0:
		return invalid("timeout", "%v must be above 0", r.Timeout)
	case len(r.Targets) == 0:
		return invalid("service", "the route names no service")
	}
	r.totalWeight = 0
	for _, target := range r.Targets {
		if target.Weight < 0 {
			return invalid("targets.weight", "%d must not be below 0", target.Weight)
		}
		r.totalWeight += target.Weight
	}
	if len(r.Targets) > 1 && r.totalWeight == 0 {
		return invalid("targets.weight", "the weights add up to 0")
	}
	r.MaxAttempts = max(1, r.MaxAttempts)
	return nil
}

// Route returns the route of a host with the longest prefix of path, or nil.
// A port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	byPrefix := t.hosts[strings.ToLower(host)]
	if byPrefix == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := byPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Engine returns what is stated of a service's engines.
func (t *Table) Engine(service string) Engine { return t.engines[service] }

// Authenticate returns the team that holds key, nil for a route that needs no
// key and got none that is known. Errors have code Unauthorized.
func (t *Table) Authenticate(r *Route, key string) (*Team, error) {
	if !t.keyed {
		return nil, nil
	}
	if team := t.teams[key]; team != nil && key != "" {
		return team, nil
	}
	if r.Anonymous {
		return nil, nil
	}
	return nil, fault.New(fault.Unauthorized, "the key is not known").WithOutcome(fault.NotRun)
}
