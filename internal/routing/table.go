// Package routing holds the routes and teams in force at a gateway: one
// immutable Table per configuration version, validated as a whole when it is
// built.
package routing

import (
	"strings"
	"time"
	"unicode/utf8"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Kind determines whether requests of a route may be repeated.
type Kind int

// The route kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once per attempt of a caller.
	NonIdempotent
	// Streaming responses are event streams; these requests run at most once
	// unless the route allows resumption.
	Streaming
)

// Route maps requests to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout is the operator's limit on how long a request may wait.
	Timeout time.Duration
	// TargetLatency is the time to a complete response, or to a stream's first
	// event, that earns full credit.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events that still counts as on time.
	TargetGap time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the number of backend servers to which one attempt of a
	// caller is sent.
	MaxAttempts int
	// Anonymous routes require no key.
	Anonymous bool
	// PrefixAffinity marks routes whose requests describe their prompt.
	PrefixAffinity bool
	// Resumable streams may continue on another backend server.
	Resumable bool
	Targets   []Target

	totalWeight int
	digest      uint64 // of the fields above
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Service returns the service for a random number, which is uniform over all uint64.
func (r *Route) PickService(draw uint64) string {
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

// Team is a caller that has its own keys.
type Team struct {
	Name string
	// Priority, if set, overrides the priority of the route.
	Priority *int
}

// Limits bound what a caller may send; 0 means unlimited.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Engine holds the operator's settings for the engines of a model service. Zero means not
// set.
type EngineSettings struct {
	// Memory is the capacity in tokens, shared by running requests and cached prefixes.
	Memory int
	// EventTokens is the number of generated tokens per event of a stream.
	EventTokens int
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version int64
	Limits  Limits

	routesByHost     map[string]map[string]*Route // by host and path prefix
	enginesByService map[string]EngineSettings    // by service
	teamsByKey       map[string]*Team             // by key
	requiresKeys     bool
	// routesDigest and keysDigest are the sums of the digests of the routes and keys.
	routesDigest, keysDigest uint64
}

// Contents is the input from which a Table is built.
type Config struct {
	Version int64
	Limits  Limits
	Routes  []Route
	// Engines are the settings of the engines of model services, by service.
	Engines map[string]EngineSettings
	// Teams maps each key to its team. If the map is nil, no route requires a
	// key.
	Teams map[string]*Team
}

// New validates the contents and builds the table. Errors have code
// InvalidConfig and name the invalid field.
func New(c Config) (*Table, error) {
	t := &Table{
		Version: c.Version, Limits: c.Limits, requiresKeys: c.Teams != nil,
		routesByHost: map[string]map[string]*Route{}, enginesByService: c.Engines,
	}
	for i := range c.Routes {
		if err := c.Routes[i].validate(); err != nil {
			return nil, err
		}
		t.addRoute(&c.Routes[i])
	}
	for key, team := range c.Teams {
		t.addKey(key, team)
	}
	return t, nil
}

func (r *Route) validate() error {
	invalid := func(field, format string, args ...any) error {
		return fault.New(fault.InvalidConfig, format, args...).WithField("routes." + r.Name + "." + field)
	}
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") || !utf8.ValidString(r.PathPrefix):
		return invalid("path_prefix", "%q must begin and end with a slash", r.PathPrefix)
	case r.Timeout <= 0:
		return invalid("timeout", "%v must be greater than 0", r.Timeout)
	case len(r.Targets) == 0:
		return invalid("service", "the route has no target service")
	}
	r.totalWeight = 0
	for _, target := range r.Targets {
		if target.Weight < 0 {
			return invalid("targets.weight", "%d must not be negative", target.Weight)
		}
		r.totalWeight += target.Weight
	}
	if len(r.Targets) > 1 && r.totalWeight == 0 {
		return invalid("targets.weight", "the sum of the weights must not be 0")
	}
	r.MaxAttempts = max(1, r.MaxAttempts)
	return nil
}

// Route returns the route of a host with the longest matching path prefix, or
// nil. A port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	byPrefix := t.routesByHost[strings.ToLower(host)]
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

// Engine returns the operator's settings for the engines of a service.
func (t *Table) EngineSettings(service string) EngineSettings { return t.enginesByService[service] }

// Authenticate returns the team that holds key, or nil if the key is unknown
// and the route requires none. Errors have code Unauthorized.
func (t *Table) Authenticate(r *Route, key string) (*Team, error) {
	if !t.requiresKeys {
		return nil, nil
	}
	if team := t.teamsByKey[key]; team != nil && key != "" {
		return team, nil
	}
	if r.Anonymous {
		return nil, nil
	}
	return nil, fault.New(fault.Unauthorized, "unknown API key").WithOutcome(fault.NotRun)
}
