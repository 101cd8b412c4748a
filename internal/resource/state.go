package resource

import (
	"bytes"
	"encoding/json"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Limits of the state. State.Apply enforces them, so that every process
// rejects the same records.
const (
	MaxResources  = 20000
	MaxVersions   = 8    // versions kept per resource, the latest included
	MaxDeleted    = 512  // deleted resources whose history is kept
	MaxOperations = 1024 // operations whose results are kept
	MaxChanges    = 1000 // changes per record
)

// Verb is the action of a Change.
type Verb string

const (
	Put    Verb = "put"
	Delete Verb = "delete"
)

// Change sets or deletes one resource.
type Change struct {
	Verb Verb   `json:"verb"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Base is the revision of the resource that the change was based on. If 0,
	// the resource must not exist.
	Base uint64          `json:"base"`
	Spec json.RawMessage `json:"spec,omitempty"`
}

// Record is the content of one log entry: a set of changes applied atomically.
type Record struct {
	Operation string   `json:"operation"`
	Actor     string   `json:"actor"`
	Time      string   `json:"time"` // RFC 3339, informational only
	Changes   []Change `json:"changes"`
}

// Version is one entry in a resource's history. Spec is nil for a deletion.
type Version struct {
	Revision  uint64          `json:"revision"`
	Operation string          `json:"operation"`
	Actor     string          `json:"actor"`
	Time      string          `json:"time"`
	Spec      json.RawMessage `json:"spec,omitempty"`
}

// Resource is a named spec with its version history, newest last.
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

// Spec returns the decoded spec, or nil if the resource is deleted.
func (r *Resource) Spec() Spec { return r.spec }

// Result is the outcome of an operation. Results are stored in snapshots, with the
// text of their messages.
type Result struct {
	Operation string `json:"operation"`
	Revision  uint64 `json:"revision"` // the log offset of its record
	Applied   bool   `json:"applied"`
	// Code, Field and Message describe why the operation was not applied.
	Code    fault.Code `json:"code,omitempty"`
	Field   string     `json:"field,omitempty"`
	Message string     `json:"message,omitempty"`
	// Winner is the operation that had already changed the resource, if this one
	// was rejected with code RevisionConflict.
	Winner string `json:"winner,omitempty"`
}

// Err returns the failure as a *fault.Error, or nil if the operation was applied.
func (r Result) Err() error {
	if r.Applied {
		return nil
	}
	return &fault.Error{Code: r.Code, Outcome: fault.NotRun, Field: r.Field, Message: r.Message}
}

// State is the configuration state machine. It is a pure function of the
// records passed to Apply in offset order. It is not safe for concurrent use;
// the result of View is.
type State struct {
	revision          uint64
	resources         map[Ref]*Resource
	liveCount         int   // number of resources that are not deleted
	deleted           []Ref // oldest first
	operations        []Result
	operationIndex    map[string]int // index in operations plus operationsDropped
	operationsDropped int
}

// NewState returns an empty State at revision 0.
func NewState() *State {
	return &State{resources: map[Ref]*Resource{}, operationIndex: map[string]int{}}
}

// Revision returns the offset of the last applied record. Offsets start at 1.
func (s *State) Revision() uint64 { return s.revision }

// Operation returns the result of an operation, if it is among the last
// MaxOperations.
func (s *State) Operation(id string) (Result, bool) {
	i, ok := s.operationIndex[id]
	if !ok {
		return Result{}, false
	}
	return s.operations[i-s.operationsDropped], true
}

// Apply applies the record at offset. An offset at or below the current revision
// is ignored, so that the revision never decreases. Malformed, invalid and
// conflicting records change no resource; except for malformed ones, their
// results are kept. The second return value is false if the offset was ignored or
// the state already has a result for the operation.
func (s *State) Apply(offset uint64, data []byte) (Result, bool) {
	if offset <= s.revision {
		return Result{}, false
	}
	s.revision = offset
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil || rec.Operation == "" {
		return Result{Revision: offset, Code: fault.InvalidConfig, Message: "the log entry is not a valid configuration record"}, true
	}
	if known, ok := s.Operation(rec.Operation); ok {
		return known, false
	}
	res := Result{Operation: rec.Operation, Revision: offset, Applied: true}
	if e := s.applyChanges(offset, rec, &res); e != nil {
		res.Applied, res.Code, res.Field, res.Message = false, e.Code, e.Field, e.Message
	}
	s.storeResult(res)
	return res, true
}

// Check returns the error with which Apply would reject rec now. It leaves s
// unchanged.
func (s *State) Check(rec Record) error {
	var res Result
	u := &undoLog{}
	e := s.applyAndValidate(s.revision+1, rec, &res, u)
	u.rollBack(s)
	if e != nil {
		return e
	}
	return nil
}

func (s *State) applyChanges(offset uint64, rec Record, res *Result) *fault.Error {
	u := &undoLog{}
	e := s.applyAndValidate(offset, rec, res, u)
	if e != nil {
		u.rollBack(s)
		return e
	}
	s.evictDeleted()
	return nil
}

// undoLog holds what is needed to revert the changes of a record that turns out to
// be invalid.
type undoLog struct {
	refs      []Ref
	previous  []*Resource // the resources of refs before the change; nil if there was none
	liveCount int
	deleted   []Ref
	started   bool // liveCount and deleted have been saved
}

func (u *undoLog) save(s *State, ref Ref) {
	if !u.started {
		u.started, u.liveCount, u.deleted = true, s.liveCount, append([]Ref(nil), s.deleted...)
	}
	u.refs = append(u.refs, ref)
	u.previous = append(u.previous, s.resources[ref])
}

func (u *undoLog) rollBack(s *State) {
	if !u.started {
		return
	}
	for i := len(u.refs) - 1; i >= 0; i-- {
		if u.previous[i] == nil {
			delete(s.resources, u.refs[i])
		} else {
			s.resources[u.refs[i]] = u.previous[i]
		}
	}
	s.liveCount, s.deleted = u.liveCount, u.deleted
}

func (s *State) applyAndValidate(offset uint64, rec Record, res *Result, u *undoLog) *fault.Error {
	if len(rec.Changes) == 0 || len(rec.Changes) > MaxChanges {
		return invalid("changes", "a record has %d changes, allowed are 1 to %d", len(rec.Changes), MaxChanges)
	}
	for i := range rec.Changes {
		if e := s.applyChange(offset, &rec, &rec.Changes[i], res, u); e != nil {
			e.Field = fieldPath(&rec.Changes[i], e.Field)
			return e
		}
	}
	if e := s.checkReferences(rec.Changes); e != nil {
		return e
	}
	if s.liveCount > MaxResources {
		return invalid("changes", "more than %d resources", MaxResources)
	}
	return nil
}

func fieldPath(c *Change, field string) string {
	where := string(c.Kind) + "/" + c.Name
	if field == "" {
		return where
	}
	return where + "." + field
}

func (s *State) applyChange(offset uint64, rec *Record, c *Change, res *Result, u *undoLog) *fault.Error {
	ref := Ref{c.Kind, c.Name}
	old := s.resources[ref]
	if e := checkBaseRevision(old, c, res); e != nil {
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
	u.save(s, ref)
	s.updateCounts(old, next, ref)
	next.Versions = appendVersion(old, v)
	s.resources[ref] = next
	return nil
}

// checkBaseRevision implements optimistic concurrency control: of several
// concurrent changes to a resource, only the first in the log is applied.
func checkBaseRevision(old *Resource, c *Change, res *Result) *fault.Error {
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

func (s *State) updateCounts(old, next *Resource, ref Ref) {
	wasLive, isLive := old != nil && !old.Deleted(), !next.Deleted()
	switch {
	case isLive && !wasLive:
		s.liveCount++
		s.removeFromDeleted(ref)
	case wasLive && !isLive:
		s.liveCount--
		s.deleted = append(s.deleted, ref)
	}
}

func (s *State) removeFromDeleted(ref Ref) {
	for i, d := range s.deleted {
		if d == ref {
			s.deleted = append(append([]Ref(nil), s.deleted[:i]...), s.deleted[i+1:]...)
			return
		}
	}
}

// evictDeleted removes the history of the resources that were deleted first, down
// to MaxDeleted.
func (s *State) evictDeleted() {
	for len(s.deleted) > MaxDeleted {
		delete(s.resources, s.deleted[0])
		s.deleted = s.deleted[1:]
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
		return data // unreachable: ParseSpec has accepted data
	}
	return out.Bytes()
}

func (s *State) storeResult(res Result) {
	s.operationIndex[res.Operation] = len(s.operations) + s.operationsDropped
	s.operations = append(s.operations, res)
	if len(s.operations) > MaxOperations {
		delete(s.operationIndex, s.operations[0].Operation)
		s.operations = s.operations[1:]
		s.operationsDropped++
	}
}
