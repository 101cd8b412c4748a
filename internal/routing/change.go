package routing

import (
	"bytes"
	"maps"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Change is the difference between the tables of two versions. Its size depends on what differs,
// not on the size of the tables.
type Change struct {
	From, To int64 // From is 0 if the change holds the whole table
	Limits   Limits
	Engines  map[string]EngineSettings
	Keyed    bool
	// Routes are new or changed; RoutesGone were removed.
	Routes     []Route
	RoutesGone []RouteKey
	// Keys are new or belong to another team; KeysGone were removed.
	Keys     []TeamKey
	KeysGone []string
	// Digest is the digest of the resulting table.
	Digest uint64
}

// RouteKey identifies a route within a table.
type RouteKey struct{ Host, PathPrefix string }

// TeamKey is a key with the team that holds it.
type TeamKey struct {
	Key string
	Team
}

// hasher encodes and hashes values. Hashers are pooled, as a table has thousands of routes.
type hasher struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
}

var hashers = sync.Pool{New: func() any {
	h := &hasher{}
	h.enc = msgpack.NewEncoder(&h.buf)
	h.enc.UseArrayEncodedStructs(true)
	return h
}}

// digest returns a hash of the encoding of v, which is the same in every process.
func digest(v any) uint64 {
	h := hashers.Get().(*hasher)
	defer hashers.Put(h)
	h.buf.Reset()
	if err := h.enc.Encode(v); err != nil {
		panic(err) // can't happen: v has only plain fields
	}
	return xxhash.Sum64(h.buf.Bytes())
}

// Digest returns a hash of the whole table. Different tables have the same digest with a
// probability of 1 in 2^64.
func (t *Table) Digest() uint64 {
	sum := t.routesDigest + t.keysDigest + digest([]any{t.Version, t.Limits, t.requiresKeys})
	for service, engine := range t.enginesByService {
		sum += digest([]any{service, engine})
	}
	return sum
}

// Diff returns the change from one table to another. A nil old stands for an empty table.
func Diff(old, next *Table) Change {
	c := Change{To: next.Version, Limits: next.Limits, Engines: next.enginesByService, Keyed: next.requiresKeys, Digest: next.Digest()}
	if old == nil {
		old = &Table{}
	}
	c.From = old.Version
	for host, byPrefix := range next.routesByHost {
		for prefix, r := range byPrefix {
			if prev := old.routesByHost[host][prefix]; prev == nil || prev.digest != r.digest {
				c.Routes = append(c.Routes, *r)
			}
		}
	}
	for host, byPrefix := range old.routesByHost {
		for prefix := range byPrefix {
			if next.routesByHost[host][prefix] == nil {
				c.RoutesGone = append(c.RoutesGone, RouteKey{host, prefix})
			}
		}
	}
	for key, team := range next.teamsByKey {
		if prev := old.teamsByKey[key]; prev == nil || !prev.equal(team) {
			c.Keys = append(c.Keys, TeamKey{key, *team})
		}
	}
	for key := range old.teamsByKey {
		if next.teamsByKey[key] == nil {
			c.KeysGone = append(c.KeysGone, key)
		}
	}
	return c
}

// Apply returns the table that results from applying the change to t; nil stands for an empty
// table. The tables share what has not changed. Errors have code InvalidConfig: the change was
// made from another version, or the result differs from the sender's table.
func (t *Table) Apply(c Change) (*Table, error) {
	if t == nil {
		t = &Table{}
	}
	if c.From != t.Version {
		return nil, fault.New(fault.InvalidConfig, "cannot apply a change from version %d to version %d", c.From, t.Version).WithField("from")
	}
	next := &Table{Version: c.To, Limits: c.Limits, requiresKeys: c.Keyed, enginesByService: c.Engines,
		routesByHost: maps.Clone(t.routesByHost), routesDigest: t.routesDigest, keysDigest: t.keysDigest}
	if next.routesByHost == nil {
		next.routesByHost = map[string]map[string]*Route{}
	}
	if c.Keyed {
		next.teamsByKey = maps.Clone(t.teamsByKey)
	} else {
		next.keysDigest = 0
	}
	unshared := map[string]bool{} // hosts whose routes are no longer shared with t
	for _, key := range c.RoutesGone {
		next.removeRoute(key, unshared)
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(); err != nil {
			return nil, err
		}
		next.copyHostRoutes(strings.ToLower(r.Host), unshared)
		next.addRoute(r)
	}
	for _, key := range c.KeysGone {
		next.removeKey(key)
	}
	for _, k := range c.Keys {
		next.addKey(k.Key, &k.Team)
	}
	if next.Digest() != c.Digest {
		return nil, fault.New(fault.InvalidConfig, "table after the change to version %d differs from the sender's table", c.To).WithField("digest")
	}
	return next, nil
}

// unshare copies the routes of a host before the first modification.
func (t *Table) copyHostRoutes(host string, unshared map[string]bool) {
	if !unshared[host] {
		unshared[host] = true
		if byPrefix := t.routesByHost[host]; byPrefix != nil {
			t.routesByHost[host] = maps.Clone(byPrefix)
		}
	}
}

func (t *Table) removeRoute(key RouteKey, unshared map[string]bool) {
	t.copyHostRoutes(key.Host, unshared)
	byPrefix := t.routesByHost[key.Host]
	if r := byPrefix[key.PathPrefix]; r != nil {
		t.routesDigest -= r.digest
		delete(byPrefix, key.PathPrefix)
	}
	if len(byPrefix) == 0 {
		delete(t.routesByHost, key.Host)
		delete(unshared, key.Host)
	}
}

// addRoute adds a validated route, replacing one with the same key.
func (t *Table) addRoute(r *Route) {
	host := strings.ToLower(r.Host)
	byPrefix := t.routesByHost[host]
	if byPrefix == nil {
		byPrefix = map[string]*Route{}
		t.routesByHost[host] = byPrefix
	}
	if prev := byPrefix[r.PathPrefix]; prev != nil {
		t.routesDigest -= prev.digest
	}
	r.digest = digest(r)
	t.routesDigest += r.digest
	byPrefix[r.PathPrefix] = r
}

func (t *Table) addKey(key string, team *Team) {
	t.removeKey(key)
	if t.teamsByKey == nil {
		t.teamsByKey = map[string]*Team{}
	}
	t.teamsByKey[key] = team
	t.keysDigest += digest(TeamKey{key, *team})
}

func (t *Table) removeKey(key string) {
	if team := t.teamsByKey[key]; team != nil {
		t.keysDigest -= digest(TeamKey{key, *team})
		delete(t.teamsByKey, key)
	}
}

func (t *Team) equal(other *Team) bool {
	samePriority := t.Priority == other.Priority || (t.Priority != nil && other.Priority != nil && *t.Priority == *other.Priority)
	return t.Name == other.Name && samePriority
}
