// Package command implements the handlers of the operator API that change the
// configuration. A change is reported as accepted only after this router has read it
// back from the log and applied it.
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
	// submitTimeout limits the wait for a change to be read back from the log.
	submitTimeout = 5 * time.Second
	maxBodyBytes  = 1 << 20
	// HeaderOperation is the request header with an operation ID chosen by the
	// client. A client that got no response can query the result by this ID, or
	// retry with it without the change being applied twice.
	HeaderOperation = "Merlinpost-Operation"
)

// Handlers implements adminapi.Handler for the routes that change the
// configuration.
type Handlers struct {
	config *configlog.Follower
	now    func() time.Time
}

// New returns handlers that change the configuration through config.
func New(config *configlog.Follower, now func() time.Time) *Handlers {
	return &Handlers{config: config, now: now}
}

// Register implements adminapi.Handler.
func (h *Handlers) Register(api iris.Party) {
	api.Put("/{kind:string}/{name:string}", h.put)
	api.Delete("/{kind:string}/{name:string}", h.delete)
	api.Post("/{kind:string}/{name:string}/withdraw", h.withdraw)
	api.Post("/changes", h.applyChangeSet)
}

// Accepted is the response to a change that this router has applied.
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
	h.changeResource(ctx, resource.Change{Verb: resource.Put, Kind: ref.Kind, Name: ref.Name, Spec: spec})
}

func (h *Handlers) delete(ctx iris.Context) {
	ref, err := adminapi.RefFromPath(ctx)
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	h.changeResource(ctx, resource.Change{Verb: resource.Delete, Kind: ref.Kind, Name: ref.Name})
}

// changeResource submits a change of one resource. It is based on the revision in the
// If-Match header or, without one, on the revision known to this router.
func (h *Handlers) changeResource(ctx iris.Context, c resource.Change) {
	base, err := h.baseRevision(ctx, resource.Ref{Kind: c.Kind, Name: c.Name})
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	c.Base = base
	h.submit(ctx, []resource.Change{c}, false)
}

func (h *Handlers) baseRevision(ctx iris.Context, ref resource.Ref) (uint64, error) {
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

// withdraw reverts a resource to an earlier version by submitting a new change.
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
	spec, err := previousSpec(r, ctx.URLParam("to"))
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	c := resource.Change{Verb: resource.Put, Kind: ref.Kind, Name: ref.Name, Spec: spec}
	if spec == nil {
		c.Verb = resource.Delete
	}
	h.changeResource(ctx, c)
}

// previousSpec returns the spec at revision to or, if to is empty, the one before the
// latest. It is nil if the resource did not exist or was deleted at that revision.
func previousSpec(r *resource.Resource, to string) (json.RawMessage, error) {
	if to == "" {
		if len(r.Versions) == 1 {
			return nil, nil // the resource did not exist before its first revision
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
	return nil, fault.New(fault.NotFound, "revision %d is not in the retained history of this resource", revision).WithField("to")
}

// ChangeSet is the body of POST /v1/changes: a set of changes applied atomically.
// A change without base is based on the resource's revision known to this router.
type ChangeSet struct {
	DryRun  bool               `json:"dry_run"`
	Changes []ChangeSetElement `json:"changes"`
}

// ChangeSetElement is one change of a ChangeSet.
type ChangeSetElement struct {
	Verb resource.Verb   `json:"verb"`
	Kind resource.Kind   `json:"kind"`
	Name string          `json:"name"`
	Base *uint64         `json:"base,omitempty"`
	Spec json.RawMessage `json:"spec,omitempty"`
}

func (h *Handlers) applyChangeSet(ctx iris.Context) {
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

// submit appends the changes to the log as one record. It responds when the record has
// been applied or rejected, or after submitTimeout.
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
		_ = ctx.JSON(Accepted{Operation: operation, Revision: h.config.View().Revision, DryRun: true}) // an error means that the client has disconnected
		return
	}
	if known, ok := h.config.View().Operation(operation); ok {
		writeResult(ctx, known, known.Err())
		return
	}
	wait, cancel := context.WithTimeout(ctx.Request().Context(), submitTimeout)
	defer cancel()
	res, err := h.config.Submit(wait, rec)
	res.Operation = operation
	writeResult(ctx, res, err)
}

func writeResult(ctx iris.Context, res resource.Result, err error) {
	if err != nil {
		adminapi.WriteOperationError(ctx, err, res.Operation)
		return
	}
	ctx.Header("ETag", adminapi.ETag(res.Revision))
	_ = ctx.JSON(Accepted{Operation: res.Operation, Revision: res.Revision}) // an error means that the client has disconnected
}

func readBody(ctx iris.Context) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBodyBytes))
	if err != nil {
		return nil, fault.New(fault.TooLarge, "read request body: %w", err).WithField("body")
	}
	return data, nil
}
