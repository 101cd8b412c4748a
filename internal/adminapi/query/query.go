// Package query holds the operators' handlers that read: resources, their
// history, operations, and which process has which revision in force.
package query

import (
	"encoding/json"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/merlinpost/merlinpost/internal/adminapi"
	"github.com/merlinpost/merlinpost/internal/configlog"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/router"
)

// Handlers is the set of query handlers.
type Handlers struct {
	config *configlog.Follower
	status func() []router.ProcessStatus
}

// New returns the handlers over the configuration and the router's knowledge
// of the processes.
func New(config *configlog.Follower, status func() []router.ProcessStatus) *Handlers {
	return &Handlers{config: config, status: status}
}

// Register implements adminapi.Handler.
func (h *Handlers) Register(api iris.Party) {
	api.Get("/status", h.getStatus)
	api.Get("/operations/{id:string}", h.operation)
	api.Get("/{kind:string}", h.list)
	api.Get("/{kind:string}/{name:string}", h.get)
	api.Get("/{kind:string}/{name:string}/history", h.history)
}

// Resource is the answer form of a resource.
type Resource struct {
	Kind     resource.Kind   `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

func form(r *resource.Resource) Resource {
	v := r.Latest()
	return Resource{r.Kind, r.Name, v.Revision, v.Spec, r.Deleted()}
}

// Status is the answer of GET /v1/status.
type Status struct {
	Revision uint64 `json:"revision"`
	Ready    bool   `json:"ready"`
	LogUp    bool   `json:"log_up"`
	// LogSilentSeconds is how long ago the log last answered.
	LogSilentSeconds float64                `json:"log_silent_seconds"`
	Processes        []router.ProcessStatus `json:"processes"`
}

func (h *Handlers) getStatus(ctx iris.Context) {
	reply(ctx, Status{h.config.View().Revision, h.config.Ready(), h.config.LogUp(), h.config.SinceLastRead().Seconds(), h.status()})
}

// reply answers with v; a client that went away is its own matter.
func reply(ctx iris.Context, v any) { _ = ctx.JSON(v) }

func (h *Handlers) operation(ctx iris.Context) {
	res, ok := h.config.View().Operation(ctx.Params().Get("id"))
	if !ok {
		adminapi.WriteError(ctx, fault.New(fault.NotFound, "the operation is not known here: not on the log, not read yet, or long ago").WithField("id"))
		return
	}
	reply(ctx, res)
}

func (h *Handlers) list(ctx iris.Context) {
	kind, err := resource.ParseKind(ctx.Params().Get("kind"))
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	if ctx.URLParamExists("watch") {
		h.watch(ctx, kind)
		return
	}
	out := []Resource{}
	for _, r := range h.config.View().List(kind) {
		out = append(out, form(r))
	}
	reply(ctx, out)
}

func (h *Handlers) get(ctx iris.Context) {
	ref, err := adminapi.RefFromPath(ctx)
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	r, ok := h.config.View().Get(ref)
	if !ok {
		adminapi.WriteError(ctx, notFound(ref))
		return
	}
	tag := adminapi.ETag(r.Latest().Revision)
	ctx.Header("ETag", tag)
	if ctx.GetHeader("If-None-Match") == tag {
		ctx.StatusCode(iris.StatusNotModified)
		return
	}
	reply(ctx, form(r))
}

func (h *Handlers) history(ctx iris.Context) {
	ref, err := adminapi.RefFromPath(ctx)
	if err != nil {
		adminapi.WriteError(ctx, err)
		return
	}
	r, ok := h.config.View().History(ref)
	if !ok {
		adminapi.WriteError(ctx, notFound(ref))
		return
	}
	reply(ctx, r.Versions)
}

func notFound(ref resource.Ref) *fault.Error {
	return fault.New(fault.NotFound, "there is no %s %q", ref.Kind, ref.Name)
}

// keepAlive is how often a watch without changes sends an empty line.
const keepAlive = 15 * time.Second

// watch sends each resource of a kind that changes, a JSON object a line,
// beginning with all that there are.
func (h *Handlers) watch(ctx iris.Context, kind resource.Kind) {
	ctx.ContentType("application/x-ndjson")
	seen := map[string]uint64{}
	for {
		changed := h.config.Changed()
		if !h.sendChanges(ctx, kind, seen) {
			return
		}
		select {
		case <-changed:
		case <-time.After(keepAlive):
			if _, err := ctx.WriteString("\n"); err != nil {
				return
			}
		case <-ctx.Request().Context().Done():
			return
		}
	}
}

func (h *Handlers) sendChanges(ctx iris.Context, kind resource.Kind, seen map[string]uint64) bool {
	for _, r := range h.config.View().ListWithDeleted(kind) {
		revision := r.Latest().Revision
		if seen[r.Name] == revision || (seen[r.Name] == 0 && r.Deleted()) {
			continue
		}
		seen[r.Name] = revision
		line, err := json.Marshal(form(r))
		if err != nil {
			return false
		}
		if _, err := ctx.Write(append(line, '\n')); err != nil {
			return false
		}
	}
	ctx.ResponseWriter().Flush()
	return true
}
