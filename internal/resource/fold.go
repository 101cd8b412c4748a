package resource

import (
	"bytes"
	"encoding/json"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Bounds of the state. Each is enforced in the fold, so that every process
// refuses the same records.
const (
	MaxResources  = 20000
	MaxVersions   = 8    // earlier contents kept of each resource
	MaxDeleted    = 512  // deleted resources whose history is kept
	MaxOperations = 1024 // operations whose results are kept
	MaxChanges    = 1000 // changes in one record
)

// Verb says what a Change does.
type Verb string

// The verbs.
const (
	Put    Verb = "put"
	Delete Verb = "delete"
)

// Change is a wish to set or delete one resource.
type Change struct {
	Verb Verb   `json:"verb"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Base is the revision of the resource that the change was based on; 0:
	// the resource must not exist.
	Base uint64          `json:"base"`
	Spec json.RawMessage `json:"spec,omitempty"`
}

// Record is what one log entry holds: changes applied whole or not at all.
type Record struct {
	Operation string   `json:"operation"`
	Actor     string   `json:"actor"`
	Time      string   `json:"time"` // RFC 3339, for people only
	Changes   []Change `json:"changes"`
}

// Version is one content that a resource had. Spec is nil for a deletion.
type Version struct {
	Revision  uint64          `json:"revision"`
	Operation string          `json:"operation"`
	Actor     string          `json:"actor"`
	Time      string          `json:"time"`
	Spec      json.RawMessage `json:"spec,omitempty"`
}

// Resource is a named content with its history, newest version last.
type Resource struct {
	Kind     Kind      `json:"kind"`
	Name     string    `json:"name"`
	Versions []Version `json:"versions"`
	spec     Spec
}

// Latest returns the newest version.
func (r *Resource) Latest() Version { return r.Versions[len(r.Versions)-1] }

// Deleted reports whether the newest version is a deletion.
func (r *Resource) Deleted() bool { return r.spec == nil }

// Spec returns the decoded content; nil when deleted.
func (r *Resource) Spec() Spec { return r.spec }

// Result says what became of an operation.
type Result struct {
	Operation string `json:"operation"`
	Revision  uint64 `json:"revision"` // the log offset of its record
	Applied   bool   `json:"applied"`
	// Code, Field and Message say why it was not applied.
	Code    fault.Code `json:"code,omitempty"`
	Field   string     `json:"field,omitempty"`
	Message string     `json:"message,omitempty"`
	// Winner is the operation that a conflict lost to.
	Winner string `json:"winner,omitempty"`
}

// Err returns the failure as a typed error; nil if applied.
func (r Result) Err() error {
	if r.Applied {
		return nil
	}
	return &fault.Error{Code: r.Code, Outcome: fault.NotRun, Field: r.Field, Message: r.Message}
}

// Fold is the configuration state. It is a pure function of the records that
// Apply was given in order of their offsets. It is not safe for concurrent
// use; View returns what is.
type State struct {
	revision  uint64
	resources map[Ref]*Resource
	live      int
	deleted   []Ref // oldest first
	ops       []Result
	opIndex   map[string]int // position in ops plus opsDropped
	dropped   int
}

// NewFold returns an empty state at revision 0.
func NewState() *State {
	return &State{resources: map[Ref]*Resource{}, opIndex: map[string]int{}}
}

// Revision returns the offset of the last record folded in. Offsets start at 1.
func (f *State) Revision() uint64 { return f.revision }

// Operation returns the result of an operation if it is still kept.
func (f *State) Operation(id string) (Result, bool) {
	i, ok := f.opIndex[id]
	if !ok {
		return Result{}, false
	}
	return f.ops[i-f.dropped], true
}

// Apply folds in the record at offset. A record at or below the current
// revision has no effect: the state never goes back. A broken or stale record
// has no effect either, but its result is kept. The second value is false when
// the record was already folded in or its operation was known before.
func (f *State) Apply(offset uint64, data []byte) (Result, bool) {
	if offset <= f.revision {
		return Result{}, false
	}
	f.revision = offset
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil || rec.Operation == "" {
		return Result{Revision: offset, Code: fault.InvalidConfig, Message: "the record is no configuration record"}, true
	}
	if known, ok := f.Operation(rec.Operation); ok {
		return known, false
	}
	res := Result{Operation: rec.Operation, Revision: offset, Applied: true}
	if e := f.applyChanges(offset, rec, &res); e != nil {
		res.Applied, res.Code, res.Field, res.Message = false, e.Code, e.Field, e.Message
	}
	f.remember(res)
	return res, true
}

// Check reports what Apply would answer to rec now, without changing f.
func (f *State) Check(rec Record) error {
	var res Result
	u := &undo{}
	e := f.tryChanges(f.revision+1, rec, &res, u)
	u.run(f)
	if e != nil {
		return e
	}
	return nil
}

func (f *State) applyChanges(offset uint64, rec Record, res *Result) *fault.Error {
	u := &undo{}
	e := f.tryChanges(offset, rec, res, u)
	if e != nil {
		u.run(f)
		return e
	}
	f.trimDeleted()
	return nil
}

// undo restores the resources that a record changed.
type undo struct {
	refs    []Ref
	before  []*Resource
	live    int
	deleted []Ref
	started bool
}

func (u *undo) save(f *State, ref Ref) {
	if !u.started {
		u.started, u.live, u.deleted = true, f.live, append([]Ref(nil), f.deleted...)
	}
	u.refs = append(u.refs, ref)
	u.before = append(u.before, f.resources[ref])
}

func (u *undo) run(f *State) {
	if !u.started {
		return
	}
	for i := len(u.refs) - 1; i >= 0; i-- {
		if u.before[i] == nil {
			delete(f.resources, u.refs[i])
		} else {
			f.resources[u.refs[i]] = u.before[i]
		}
	}
	f.live, f.deleted = u.live, u.deleted
}

func (f *State) tryChanges(offset uint64, rec Record, res *Result, u *undo) *fault.Error {
	if len(rec.Changes) == 0 || len(rec.Changes) > MaxChanges {
		return invalid("changes", "a record has %d changes, allowed are 1 to %d", len(rec.Changes), MaxChanges)
	}
	for i := range rec.Changes {
		if e := f.applyOne(offset, &rec, &rec.Changes[i], res, u); e != nil {
			e.Field = changeField(&rec.Changes[i], e.Field)
			return e
		}
	}
	if e := f.checkReferences(rec.Changes); e != nil {
		return e
	}
	if f.live > MaxResources {
		return invalid("changes", "more than %d resources", MaxResources)
	}
	return nil
}

func changeField(c *Change, field string) string {
	where := string(c.Kind) + "/" + c.Name
	if field == "" {
		return where
	}
	return where + "." + field
}

func (f *State) applyOne(offset uint64, rec *Record, c *Change, res *Result, u *undo) *fault.Error {
	ref := Ref{c.Kind, c.Name}
	old := f.resources[ref]
	if e := checkBase(old, c, res); e != nil {
		return e
	}
	next := &Resource{Kind: c.Kind, Name: c.Name}
	v := Version{Revision: offset, Operation: rec.Operation, Actor: rec.Actor, Time: rec.Time}
	switch c.Verb {
	case Put:
		spec, err := ParseSpec(c.Kind, c.Name, c.Spec)
		if err != nil {
			return fault.From(err)
		}
		next.spec, v.Spec = spec, compactJSON(c.Spec)
	case Delete:
		if old == nil || old.Deleted() {
			return fault.New(fault.NotFound, "there is no %s %q", c.Kind, c.Name)
		}
	default:
		return invalid("verb", "no verb %q", c.Verb)
	}
	u.save(f, ref)
	f.count(old, next, ref)
	next.Versions = appendVersion(old, v)
	f.resources[ref] = next
	return nil
}

// checkBase lets one of several racing changes win: the first in the log.
func checkBase(old *Resource, c *Change, res *Result) *fault.Error {
	current := uint64(0)
	if old != nil {
		current = old.Latest().Revision
	}
	if c.Base == current || (c.Base == 0 && old != nil && old.Deleted()) {
		return nil
	}
	if old != nil {
		res.Winner = old.Latest().Operation
		return fault.New(fault.RevisionConflict, "based on revision %d, but %s set revision %d with operation %s",
			c.Base, old.Latest().Actor, current, res.Winner)
	}
	return fault.New(fault.RevisionConflict, "based on revision %d, but the resource does not exist", c.Base)
}

func (f *State) count(old, next *Resource, ref Ref) {
	wasLive, isLive := old != nil && !old.Deleted(), !next.Deleted()
	switch {
	case isLive && !wasLive:
		f.live++
		f.forgetDeleted(ref)
	case wasLive && !isLive:
		f.live--
		f.deleted = append(f.deleted, ref)
	}
}

func (f *State) forgetDeleted(ref Ref) {
	for i, d := range f.deleted {
		if d == ref {
			f.deleted = append(append([]Ref(nil), f.deleted[:i]...), f.deleted[i+1:]...)
			return
		}
	}
}

func (f *State) trimDeleted() {
	for len(f.deleted) > MaxDeleted {
		delete(f.resources, f.deleted[0])
		f.deleted = f.deleted[1:]
	}
}

func appendVersion(old *Resource, v Version) []Version {
	var versions []Version
	if old != nil {
		versions = append(versions, old.Versions...)
	}
	versions = append(versions, v)
	if len(versions) > MaxVersions {
		versions = versions[len(versions)-MaxVersions:]
	}
	return versions
}

func compactJSON(data []byte) json.RawMessage {
	var out bytes.Buffer
	if err := json.Compact(&out, data); err != nil {
		return data // ParseSpec has accepted it, so this does not happen
	}
	return out.Bytes()
}

func (f *State) remember(res Result) {
	f.opIndex[res.Operation] = len(f.ops) + f.dropped
	f.ops = append(f.ops, res)
	if len(f.ops) > MaxOperations {
		delete(f.opIndex, f.ops[0].Operation)
		f.ops = f.ops[1:]
		f.dropped++
	}
}
