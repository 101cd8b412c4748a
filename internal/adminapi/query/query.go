// Package query implements the read-only handlers of the operator API. They return
// resources and their history, the results of operations, and the status of each
// process with its configuration revision.
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

// Handlers implements adminapi.Handler for the read-only routes.
type Handlers struct {
	config *configlog.Follower
	status func() []router.ProcessStatus
}

// New returns handlers that read the configuration from config and the status of
// the processes from status.
func New(config *configlog.Follower, status func() []router.ProcessStatus) *Handlers {
	return &Handlers{config: config, status: status}
}

// Register implements adminapi.Handler.
func (h *Handlers) Register(api iris.Party) {
	api.Get("/status", h.getStatus)
	api.Get("/operations/{id:string}", h.getOperation)
	api.Get("/{kind:string}", h.list)
	api.Get("/{kind:string}/{name:string}", h.get)
	api.Get("/{kind:string}/{name:string}/history", h.history)
}

// Resource is the JSON form of a resource at its latest version.
type Resource struct {
	Kind     resource.Kind   `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

func newResource(r *resource.Resource) Resource {
	v := r.Latest()
	return Resource{r.Kind, r.Name, v.Revision, v.Spec, r.Deleted()}
}

// Status is the response to GET /v1/status.
type Status struct {
	Revision uint64 `json:"revision"`
	Ready    bool   `json:"ready"`
	LogUp    bool   `json:"log_up"`
	// LogSilentSeconds is the time since the last successful read from the log.
	LogSilentSeconds float64                `json:"log_silent_seconds"`
	Processes        []router.ProcessStatus `json:"processes"`
}

func (h *Handlers) getStatus(ctx iris.Context) {
	writeJSON(ctx, Status{h.config.View().Revision, h.config.Ready(), h.config.LogUp(), h.config.SinceLastRead().Seconds(), h.status()})
}

// writeJSON writes v as the response. An error means that the client has
// disconnected, so it is ignored.
func writeJSON(ctx iris.Context, v any) { _ = ctx.JSON(v) }

func (h *Handlers) getOperation(ctx iris.Context) {
	res, ok := h.config.View().Operation(ctx.Params().Get("id"))
	if !ok {
		adminapi.WriteError(ctx, fault.New(fault.NotFound, "unknown operation: it is not in the log, has not been read from it yet, or its result is no longer kept").WithField("id"))
		return
	}
	writeJSON(ctx, res)
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
		out = append(out, newResource(r))
	}
	writeJSON(ctx, out)
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
	writeJSON(ctx, newResource(r))
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
	writeJSON(ctx, r.Versions)
}

func notFound(ref resource.Ref) *fault.Error {
	return fault.New(fault.NotFound, "there is no %s %q", ref.Kind, ref.Name)
}

// keepAliveInterval is the interval at which a watch without changes sends an empty
// line.
const keepAliveInterval = 15 * time.Second

// watch streams the resources of a kind as newline-delimited JSON: first all existing
// ones, then each resource that is changed or deleted.
func (h *Handlers) watch(ctx iris.Context, kind resource.Kind) {
	ctx.ContentType("application/x-ndjson")
	sent := map[string]uint64{} // resource name -> last revision sent
	for {
		changed := h.config.Changed()
		if !h.sendChanges(ctx, kind, sent) {
			return
		}
		select {
		case <-changed:
		case <-time.After(keepAliveInterval):
			if _, err := ctx.WriteString("\n"); err != nil {
				return
			}
		case <-ctx.Request().Context().Done():
			return
		}
	}
}

// sendChanges writes the resources whose revision differs from the last one sent. It
// returns false if the stream has failed.
func (h *Handlers) sendChanges(ctx iris.Context, kind resource.Kind, sent map[string]uint64) bool {
	for _, r := range h.config.View().ListWithDeleted(kind) {
		revision := r.Latest().Revision
		if sent[r.Name] == revision || (sent[r.Name] == 0 && r.Deleted()) {
			continue
		}
		sent[r.Name] = revision
		line, err := json.Marshal(newResource(r))
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
