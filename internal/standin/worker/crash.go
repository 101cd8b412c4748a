package worker

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// crashTrigger describes the requests that crash the worker: those with a body or with one of some parts in their prompt.
type crashTrigger struct {
	body    string
	parts   []string
	delay   time.Duration // from the start of the execution to the crash
	stage   CrashStage
	onCrash func()
}

// CrashStage is how much of a streamed response is sent before the worker crashes.
type CrashStage int

// The stages at which a worker crashes.
const (
	CrashBeforeHead CrashStage = iota
	CrashAfterHead
	CrashAfterEvent
	// CrashInsideEvent ends the body regularly inside the first event.
	CrashInsideEvent
)

// matches reports whether the trigger applies to a request.
func (t crashTrigger) matches(req *http.Request, body string) bool {
	if t.onCrash == nil || t.parts == nil {
		return t.onCrash != nil && body == t.body
	}
	return slices.ContainsFunc(strings.Split(req.Header.Get("X-Prompt-Prefix"), ","), func(entry string) bool {
		id, _, _ := strings.Cut(entry, ":")
		return slices.Contains(t.parts, id)
	})
}

// CrashOn makes the worker crash once it has processed a request with this body for the
// given time, and then call onCrash.
func (w *Worker) CrashOn(body string, after time.Duration, onCrash func()) {
	w.mu.Lock()
	w.crashTrigger = crashTrigger{body: body, delay: after, stage: CrashAfterHead, onCrash: onCrash}
	w.mu.Unlock()
}

// CrashOnParts makes the worker crash once it has processed a request whose prompt has one of the given parts for the
// given time, and then call onCrash.
func (w *Worker) CrashOnParts(parts []string, after time.Duration, stage CrashStage, onCrash func()) {
	w.mu.Lock()
	w.crashTrigger = crashTrigger{parts: parts, delay: after, stage: stage, onCrash: onCrash}
	w.mu.Unlock()
}

// crash crashes the worker while it processes a request. If stream is set, it first sends a streamed response up to
// the trigger's stage.
func (w *Worker) crash(c net.Conn, id string, trigger crashTrigger, stream bool) bool {
	if stream && trigger.stage != CrashBeforeHead {
		response := newBodyWriter(c, FramedByChunks, []string{Event(id, 1), Event(id, 2)}, trigger.stage.cut(id))
		_ = w.writeHeader(response, id, http.StatusOK, w.streamHeaders(id), response.headers()) // the connection is closed in any case
		for _, part := range response.parts {
			response.writePart(part)
		}
		_ = response.Flush()
		time.Sleep(trigger.delay)
		_ = response.end()
	} else {
		time.Sleep(trigger.delay)
	}
	w.Close()
	trigger.onCrash()
	return false
}

// cut returns where the stream with the given ID is cut by a crash at this stage.
func (s CrashStage) cut(id string) *Cut {
	switch s {
	case CrashAfterEvent:
		return &Cut{Events: 1, Ending: CutByClose}
	case CrashInsideEvent:
		return &Cut{Bytes: len(Event(id, 1)) / 2, Ending: CutRegularly}
	}
	return &Cut{Ending: CutByClose}
}
