package engine

import (
	"fmt"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin"
)

// Order is an order to the engine.
type Order struct {
	Op      string `json:"op"` // "load", "unload" or "role"
	Target  string `json:"target"`
	Adapter bool   `json:"adapter"`
	Role    string `json:"role"`
	Fence   uint64 `json:"fence"`
	By      string `json:"by"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	if status, text := e.admitOrder(o); status != http.StatusOK {
		http.Error(w, text, status)
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

func (e *Engine) admitOrder(o Order) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Op != "load" && o.Op != "unload" && o.Op != "role" {
		return http.StatusBadRequest, "op: not an order"
	}
	if e.cfg.Fencing {
		if o.Fence < e.fence {
			return http.StatusConflict, fmt.Sprintf("fence %d is older than %d", o.Fence, e.fence)
		}
		e.fence = o.Fence
	}
	e.orders = append(e.orders, o)
	return http.StatusOK, ""
}

// handleExport gives the cached blocks; id is a name for the export.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"id": r.PathValue("id"), "blocks": e.cache.blocks()})
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Blocks []uint64 `json:"blocks"`
	}
	if !standin.ReadJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, added, evicted := e.cache.use(in.Blocks)
	e.emit(CacheEvent{At: time.Now(), Stored: added, Evicted: evicted})
	standin.WriteJSON(w, http.StatusOK, map[string]int{"stored": len(added)})
}
