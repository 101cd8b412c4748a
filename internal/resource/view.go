package resource

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"
)

// View is an immutable picture of the configuration at one revision, indexed
// for the request path. It is safe for concurrent use.
type View struct {
	Revision uint64
	Classes  map[string]*Class
	Teams    map[string]*Team
	Pools    map[string]*Pool
	Models   map[string]*Model
	Services map[string]*Service
	Rollouts map[string]*Rollout

	byKey     map[string]string // key hash to team name
	byModel   map[string][]*Rollout
	resources map[Ref]*Resource
	ops       map[string]Result
}

// View builds a picture of the current state. Its cost grows with the number
// of resources; build one after a batch of records, not after each.
func (f *State) View() *View {
	v := &View{Revision: f.revision,
		Classes: map[string]*Class{}, Teams: map[string]*Team{}, Pools: map[string]*Pool{},
		Models: map[string]*Model{}, Services: map[string]*Service{}, Rollouts: map[string]*Rollout{},
		byKey: map[string]string{}, byModel: map[string][]*Rollout{},
		resources: make(map[Ref]*Resource, len(f.resources)), ops: make(map[string]Result, len(f.ops))}
	for ref, r := range f.resources {
		v.resources[ref] = r // a Resource is never changed in place
		v.index(r)
	}
	for _, list := range v.byModel {
		sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
	}
	for _, op := range f.ops {
		v.ops[op.Operation] = op
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
			// Two teams with one key: the same one wins in every process.
			if other, taken := v.byKey[k]; !taken || r.Name < other {
				v.byKey[k] = r.Name
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
		v.byModel[s.Model] = append(v.byModel[s.Model], s)
	}
}

// HashKey returns the hash under which a key is configured.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TeamByKey returns the name of the team that the key belongs to.
func (v *View) TeamByKey(key string) (string, bool) {
	name, ok := v.byKey[HashAPIKey(key)]
	return name, ok
}

// RolloutsOf returns the rollouts of a model, ordered by version.
func (v *View) RolloutsForModel(model string) []*Rollout { return v.byModel[model] }

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

// List returns the resources of a kind that are not deleted, by name.
func (v *View) List(k Kind) []*Resource {
	return slices.DeleteFunc(v.ListWithDeleted(k), (*Resource).Deleted)
}

// All returns the resources of a kind, deleted ones too, by name.
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

// Operation returns the result of an operation if it is still kept.
func (v *View) Operation(id string) (Result, bool) {
	r, ok := v.ops[id]
	return r, ok
}

// PoolsOf returns the names of the pools that contain the backend server.
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
func (p *Pool) Has(server string) bool { return p.Server(server).Name != "" }

// Server returns the declared backend server; the zero Server if there is none.
func (p *Pool) Server(name string) Server {
	for _, s := range p.Servers {
		if s.Name == name {
			return s
		}
	}
	return Server{}
}
