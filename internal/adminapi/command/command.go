// Package command holds the operators' handlers that change the configuration.
// A change is said to be accepted only after this router has read it back from
// the log.
package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/merlinpost/merlinpost/internal/adminapi"
	"github.com/merlinpost/merlinpost/internal/configlog"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
)

const (
	// settleWithin bounds the wait for a change to be read back.
	settleWithin = 5 * time.Second
	maxBody      = 1 << 20
	// HeaderOperation lets a client name its operation, so that it can ask
	// for it after a lost answer, or send it again without doing it twice.
	HeaderOperation = "Merlinpost-Operation"
)

// Handlers is the set of command handlers.
type Handlers struct {
	config *configlog.Follower
	now    func() time.Time
}

// New returns the handlers over the configuration.
func New(config *configlog.Follower, now func() time.Time) *Handlers {
	return &Handlers{config: config, now: now}
}

// Register implements adminapi.Handler.
func (h *Handlers) Register(api iris.Party) {
	api.Put("/{kind:string}/{name:string}", h.put)
	api.Delete("/{kind:string}/{name:string}", h.delete)
	api.Post("/{kind:string}/{name:string}/withdraw", h.withdraw)
	api.Post("/changes", h.changes)
}

// Accepted is the answer to a change that is in force here.
type Accepted struct {
	Operation string `json:"operation"`
	Revision  uint64 `json:"revision"`
	DryRun    bool   `json:"dry_run,omitempty"`
}

func (h *Handlers) put(ctx iris.Context) {
	ref, err := adminapi.RefFromPath(ctx)
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	spec, err := readBody(ctx)
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	if _, err := resource.ParseSpec(ref.Kind, ref.Name, spec); err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	h.change(ctx, resource.Change{Verb: resource.Put, Kind: ref.Kind, Name: ref.Name, Spec: spec})
}

func (h *Handlers) delete(ctx iris.Context) {
	ref, err := adminapi.RefFromPath(ctx)
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	h.change(ctx, resource.Change{Verb: resource.Delete, Kind: ref.Kind, Name: ref.Name})
}

// change submits a change of one resource, based on If-Match or else on what
// is in force here.
func (h *Handlers) change(ctx iris.Context, c resource.Change) {
	base, err := h.base(ctx, resource.Ref{Kind: c.Kind, Name: c.Name})
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	c.Base = base
	h.submit(ctx, []resource.Change{c}, false)
}

func (h *Handlers) base(ctx iris.Context, ref resource.Ref) (uint64, error) {
	if tag := ctx.GetHeader("If-Match"); tag != "" && tag != "*" {
		return adminapi.ParseETag("If-Match", tag)
	}
	if ctx.GetHeader("If-None-Match") == "*" {
		return 0, nil
	}
	return h.revisionOf(ref), nil
}

func (h *Handlers) revisionOf(ref resource.Ref) uint64 {
	if r, ok := h.config.View().History(ref); ok {
		return r.Latest().Revision
	}
	return 0
}

// withdraw puts back an earlier content as a new change.
func (h *Handlers) withdraw(ctx iris.Context) {
	ref, err := adminapi.RefFromPath(ctx)
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	r, ok := h.config.View().History(ref)
	if !ok {
		adminapi.WriteError(ctx, fault.New(fault.NotFound, "there is no %s %q", ref.Kind, ref.Name))
		return
	}
	spec, err := earlier(r, ctx.URLParam("to"))
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	c := resource.Change{Verb: resource.Put, Kind: ref.Kind, Name: ref.Name, Spec: spec}
	if spec == nil {
		c.Verb = resource.Delete
	}
	h.change(ctx, c)
}

// earlier returns the content of the revision, or of the one before the last.
func earlier(r *resource.Resource, to string) (json.RawMessage, error) {
	if to == "" {
		if len(r.Versions) == 1 {
			return nil, nil // before its first revision it did not exist
		}
		return r.Versions[len(r.Versions)-2].Spec, nil
	}
	revision, err := adminapi.ParseETag("to", to)
	if err != nil {
		return nil, err
	}
	for _, v := range r.Versions {
		if v.Revision == revision {
			return v.Spec, nil
		}
	}
	return nil, fault.New(fault.NotFound, "revision %d of this resource is not kept", revision).WithField("to")
}

// ChangeSet is the body of POST /v1/changes: changes applied whole or not at
// all. A change without base is based on what is in force.
type ChangeSet struct {
	DryRun  bool               `json:"dry_run"`
	Changes []ChangeSetElement `json:"changes"`
}

// ChangeSetElement is one change of a set.
type ChangeSetElement struct {
	Verb resource.Verb   `json:"verb"`
	Kind resource.Kind   `json:"kind"`
	Name string          `json:"name"`
	Base *uint64         `json:"base,omitempty"`
	Spec json.RawMessage `json:"spec,omitempty"`
}

func (h *Handlers) changes(ctx iris.Context) {
	data, err := readBody(ctx)
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	var set ChangeSet
	if err := json.Unmarshal(data, &set); err != nil {
		adminapi.WriteError(ctx, fault.New(fault.BadRequest, "%w", err).WithField("body"))
		return
	}
	changes := make([]resource.Change, len(set.Changes))
	for i, c := range set.Changes {
		changes[i] = resource.Change{Verb: c.Verb, Kind: c.Kind, Name: c.Name, Spec: c.Spec}
		if c.Base != nil {
			changes[i].Base = *c.Base
		} else {
			changes[i].Base = h.revisionOf(resource.Ref{Kind: c.Kind, Name: c.Name})
		}
	}
	h.submit(ctx, changes, set.DryRun)
}

// submit appends the changes as one record and answers once it is settled.
func (h *Handlers) submit(ctx iris.Context, changes []resource.Change, dryRun bool) {
	if !h.config.Ready() {
		adminapi.WriteError(ctx, fault.New(fault.NotReady, "this router has no configuration yet").WithOutcome(fault.NotRun).WithRetryAfter(time.Second))
		return
	}
	operation := ctx.GetHeader(HeaderOperation)
	if operation == "" {
		operation = configlog.NewID()
	}
	rec := resource.Record{Operation: operation, Actor: adminapi.Actor(ctx), Time: h.now().UTC().Format(time.RFC3339), Changes: changes}
	if dryRun {
		if err := h.config.Check(rec); err != nil {
			adminapi.WriteOperationError(ctx, err, operation)
			return
		}
		_ = ctx.JSON(Accepted{Operation: operation, Revision: h.config.View().Revision, DryRun: true}) // a client that went away is its own matter
		return
	}
	if known, ok := h.config.View().Operation(operation); ok {
		answer(ctx, known, known.Err())
		return
	}
	wait, cancel := context.WithTimeout(ctx.Request().Context(), settleWithin)
	defer cancel()
	res, err := h.config.Submit(wait, rec)
	res.Operation = operation
	answer(ctx, res, err)
}

func answer(ctx iris.Context, res resource.Result, err error) {
	if err != nil {
		adminapi.WriteOperationError(ctx, err, res.Operation)
		return
	}
	ctx.Header("ETag", adminapi.ETag(res.Revision))
	_ = ctx.JSON(Accepted{Operation: res.Operation, Revision: res.Revision}) // a client that went away is its own matter
}

func readBody(ctx iris.Context) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBody))
	if err != nil {
		return nil, fault.New(fault.TooLarge, "read the body: %w", err).WithField("body")
	}
	return data, nil
}
