package engine

import (
	"fmt"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin"
)

// Order is a control command for the engine.
type Order struct {
	Op           string `json:"op"` // "load", "unload" or "role"
	Target       string `json:"target"`
	Adapter      bool   `json:"adapter"`
	Role         string `json:"role"`
	FencingToken uint64 `json:"fence"` // fencing token of the sender
	IssuedBy     string `json:"by"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	if status, message := e.acceptOrder(o); status != http.StatusOK {
		http.Error(w, message, status)
		return
	}
	if o.Op == "load" && e.cfg.WeightsAddress != "" {
		if err := fetchWeights(r.Context(), e.cfg.WeightsAddress, o.Target); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Op {
	case "load":
		e.loaded[o.Target] = true
	case "unload":
		delete(e.loaded, o.Target)
	case "role":
		e.role = o.Role
	}
	standin.WriteJSON(w, http.StatusOK, o)
}

// acceptOrder validates an order and its fencing token and records it. It
// returns the HTTP status and an error message.
func (e *Engine) acceptOrder(o Order) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Op != "load" && o.Op != "unload" && o.Op != "role" {
		return http.StatusBadRequest, `op: must be "load", "unload" or "role"`
	}
	if e.cfg.Fencing {
		if o.FencingToken < e.fencingToken {
			return http.StatusConflict, fmt.Sprintf("fence %d is older than %d", o.FencingToken, e.fencingToken)
		}
		e.fencingToken = o.FencingToken
	}
	e.orders = append(e.orders, o)
	return http.StatusOK, ""
}

// handleExport returns the cached blocks. The id in the path is only echoed.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"id": r.PathValue("id"), "blocks": e.cache.blocks()})
}

// handleImport adds blocks to the cache.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Blocks []uint64 `json:"blocks"`
	}
	if !standin.ReadJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, added, evicted := e.cache.insert(in.Blocks)
	e.recordCacheEvent(CacheEvent{At: time.Now(), Stored: added, Evicted: evicted})
	standin.WriteJSON(w, http.StatusOK, map[string]int{"stored": len(added)})
}
