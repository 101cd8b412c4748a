package resource

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"
)

// View is an immutable view of the configuration at one revision, indexed for
// lookups on the request path. It is safe for concurrent use.
type View struct {
	Revision uint64
	Classes  map[string]*Class
	Teams    map[string]*Team
	Pools    map[string]*Pool
	Models   map[string]*Model
	Services map[string]*Service
	Rollouts map[string]*Rollout

	teamByKeyHash   map[string]string // hash of an API key -> team name
	rolloutsByModel map[string][]*Rollout
	resources       map[Ref]*Resource
	operations      map[string]Result
}

// View returns a View of the current state. Its cost is linear in the number of
// resources: call it once per batch of records, not once per record.
func (f *State) View() *View {
	v := &View{Revision: f.revision,
		Classes: map[string]*Class{}, Teams: map[string]*Team{}, Pools: map[string]*Pool{},
		Models: map[string]*Model{}, Services: map[string]*Service{}, Rollouts: map[string]*Rollout{},
		teamByKeyHash: map[string]string{}, rolloutsByModel: map[string][]*Rollout{},
		resources: make(map[Ref]*Resource, len(f.resources)), operations: make(map[string]Result, len(f.operations))}
	for ref, r := range f.resources {
		v.resources[ref] = r // a Resource is never changed in place
		v.index(r)
	}
	for _, list := range v.rolloutsByModel {
		sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
	}
	for _, op := range f.operations {
		v.operations[op.Operation] = op
	}
	return v
}

func (v *View) index(r *Resource) {
	switch s := r.spec.(type) {
	case *Class:
		v.Classes[r.Name] = s
	case *Team:
		v.Teams[r.Name] = s
		for _, k := range s.KeysSHA256 {
			// If two teams have the same key, it belongs to the first by name,
			// in every process.
			if other, taken := v.teamByKeyHash[k]; !taken || r.Name < other {
				v.teamByKeyHash[k] = r.Name
			}
		}
	case *Pool:
		v.Pools[r.Name] = s
	case *Model:
		v.Models[r.Name] = s
	case *Service:
		v.Services[r.Name] = s
	case *Rollout:
		v.Rollouts[r.Name] = s
		v.rolloutsByModel[s.Model] = append(v.rolloutsByModel[s.Model], s)
	}
}

// HashAPIKey returns the hash of an API key in the form of Team.KeysSHA256.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TeamByKey returns the name of the team that the API key belongs to.
func (v *View) TeamByAPIKey(key string) (string, bool) {
	name, ok := v.teamByKeyHash[HashAPIKey(key)]
	return name, ok
}

// RolloutsForModel returns the rollouts of a model, sorted by version.
func (v *View) RolloutsForModel(model string) []*Rollout { return v.rolloutsByModel[model] }

// Get returns a resource that is not deleted.
func (v *View) Get(ref Ref) (*Resource, bool) {
	r := v.resources[ref]
	if r == nil || r.Deleted() {
		return nil, false
	}
	return r, true
}

// History returns a resource even if it is deleted.
func (v *View) History(ref Ref) (*Resource, bool) {
	r, ok := v.resources[ref]
	return r, ok
}

// List returns the resources of a kind that are not deleted, sorted by name.
func (v *View) List(k Kind) []*Resource {
	return slices.DeleteFunc(v.ListWithDeleted(k), (*Resource).Deleted)
}

// ListWithDeleted returns the resources of a kind, including deleted ones,
// sorted by name.
func (v *View) ListWithDeleted(k Kind) []*Resource {
	var out []*Resource
	for ref, r := range v.resources {
		if ref.Kind == k {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Operation returns the result of an operation, if it is among the last
// MaxOperations.
func (v *View) Operation(id string) (Result, bool) {
	r, ok := v.operations[id]
	return r, ok
}

// PoolsWithServer returns the sorted names of the pools that contain the backend
// server.
func (v *View) PoolsWithServer(server string) []string {
	var out []string
	for name, p := range v.Pools {
		for _, s := range p.Servers {
			if s.Name == server {
				out = append(out, name)
				break
			}
		}
	}
	sort.Strings(out)
	return out
}

// Has reports whether the pool declares the backend server.
func (p *Pool) HasServer(server string) bool { return p.Server(server).Name != "" }

// Server returns the declared backend server, or the zero Server if there is none.
func (p *Pool) Server(name string) Server {
	for _, s := range p.Servers {
		if s.Name == name {
			return s
		}
	}
	return Server{}
}
