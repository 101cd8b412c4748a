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

// Change turns the table of one version into that of another. It is as large as what differs,
// not as the tables.
type Change struct {
	From, To int64 // From is 0 where the change holds the whole table
	Limits   Limits
	Engines  map[string]Engine
	Keyed    bool
	// Routes are new or differ; RoutesGone are no longer there.
	Routes     []Route
	RoutesGone []RouteKey
	// Keys are new or belong to another team; KeysGone are no longer there.
	Keys     []TeamKey
	KeysGone []string
	// Digest is that of the table which the change makes.
	Digest uint64
}

// RouteKey names a route within a table.
type RouteKey struct{ Host, PathPrefix string }

// TeamKey is a key and the team that holds it.
type TeamKey struct {
	Key string
	Team
}

// hasher encodes and sums; it is kept, as a table has thousands of routes.
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

// digest returns a sum over v as it is encoded, which is the same in each process.
func digest(v any) uint64 {
	h := hashers.Get().(*hasher)
	defer hashers.Put(h)
	h.buf.Reset()
	if err := h.enc.Encode(v); err != nil {
		panic(err) // plain fields
	}
	return xxhash.Sum64(h.buf.Bytes())
}

// Digest returns a sum over all that the table holds. Tables that differ have another one,
// but for a chance of one in 2^64.
func (t *Table) Digest() uint64 {
	sum := t.routesDigest + t.keysDigest + digest([]any{t.Version, t.Limits, t.keyed})
	for service, engine := range t.engines {
		sum += digest([]any{service, engine})
	}
	return sum
}

// Diff returns the change from one table to another. A nil old stands for nothing.
func Diff(old, next *Table) Change {
	c := Change{To: next.Version, Limits: next.Limits, Engines: next.engines, Keyed: next.keyed, Digest: next.Digest()}
	if old == nil {
		old = &Table{}
	}
	c.From = old.Version
	for host, byPrefix := range next.hosts {
		for prefix, r := range byPrefix {
			if was := old.hosts[host][prefix]; was == nil || was.digest != r.digest {
				c.Routes = append(c.Routes, *r)
			}
		}
	}
	for host, byPrefix := range old.hosts {
		for prefix := range byPrefix {
			if next.hosts[host][prefix] == nil {
				c.RoutesGone = append(c.RoutesGone, RouteKey{host, prefix})
			}
		}
	}
	for key, team := range next.teams {
		if was := old.teams[key]; was == nil || !was.equal(team) {
			c.Keys = append(c.Keys, TeamKey{key, *team})
		}
	}
	for key := range old.teams {
		if next.teams[key] == nil {
			c.KeysGone = append(c.KeysGone, key)
		}
	}
	return c
}

// Apply returns the table that the change makes of t, nil standing for nothing. The tables
// share what has not changed. Errors have code InvalidConfig: the change is from another
// version, or its outcome is not what its maker had.
func (t *Table) Apply(c Change) (*Table, error) {
	if t == nil {
		t = &Table{}
	}
	if c.From != t.Version {
		return nil, fault.New(fault.InvalidConfig, "a change from version %d does not fit %d", c.From, t.Version).WithField("from")
	}
	next := &Table{Version: c.To, Limits: c.Limits, keyed: c.Keyed, engines: c.Engines,
		hosts: maps.Clone(t.hosts), routesDigest: t.routesDigest, keysDigest: t.keysDigest}
	if next.hosts == nil {
		next.hosts = map[string]map[string]*Route{}
	}
	if c.Keyed {
		next.teams = maps.Clone(t.teams)
	} else {
		next.keysDigest = 0
	}
	own := map[string]bool{} // hosts whose routes are no longer shared
	for _, key := range c.RoutesGone {
		next.removeRoute(key, own)
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.check(); err != nil {
			return nil, err
		}
		next.unshare(strings.ToLower(r.Host), own)
		next.put(r)
	}
	for _, key := range c.KeysGone {
		next.removeKey(key)
	}
	for _, k := range c.Keys {
		next.putKey(k.Key, &k.Team)
	}
	if next.Digest() != c.Digest {
		return nil, fault.New(fault.InvalidConfig, "the change to version %d makes another table than its maker had", c.To).WithField("digest")
	}
	return next, nil
}

// unshare makes the routes of a host the table's own.
func (t *Table) unshare(host string, own map[string]bool) {
	if !own[host] {
		own[host] = true
		if byPrefix := t.hosts[host]; byPrefix != nil {
			t.hosts[host] = maps.Clone(byPrefix)
		}
	}
}

func (t *Table) removeRoute(key RouteKey, own map[string]bool) {
	t.unshare(key.Host, own)
	byPrefix := t.hosts[key.Host]
	if r := byPrefix[key.PathPrefix]; r != nil {
		t.routesDigest -= r.digest
		delete(byPrefix, key.PathPrefix)
	}
	if len(byPrefix) == 0 {
		delete(t.hosts, key.Host)
		delete(own, key.Host)
	}
}

// put enters a checked route, in place of one with its key.
func (t *Table) put(r *Route) {
	host := strings.ToLower(r.Host)
	byPrefix := t.hosts[host]
	if byPrefix == nil {
		byPrefix = map[string]*Route{}
		t.hosts[host] = byPrefix
	}
	if was := byPrefix[r.PathPrefix]; was != nil {
		t.routesDigest -= was.digest
	}
	r.digest = digest(r)
	t.routesDigest += r.digest
	byPrefix[r.PathPrefix] = r
}

func (t *Table) putKey(key string, team *Team) {
	t.removeKey(key)
	if t.teams == nil {
		t.teams = map[string]*Team{}
	}
	t.teams[key] = team
	t.keysDigest += digest(TeamKey{key, *team})
}

func (t *Table) removeKey(key string) {
	if team := t.teams[key]; team != nil {
		t.keysDigest -= digest(TeamKey{key, *team})
		delete(t.teams, key)
	}
}

func (t *Team) equal(other *Team) bool {
	samePriority := t.Priority == other.Priority || (t.Priority != nil && other.Priority != nil && *t.Priority == *other.Priority)
	return t.Name == other.Name && samePriority
}
