package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// quarantineEntry is the JSON representation of a quarantined request or prompt part.
type quarantineEntry struct {
	Request string               `json:"request,omitempty"`
	PartID  string               `json:"prompt_part,omitempty"`
	Name    *quarantine.PartName `json:"name,omitempty"`
	Since   time.Time            `json:"since"`
	Until   time.Time            `json:"refused_until"`
	Trials  int                  `json:"trials"`
	Servers []string             `json:"servers"`
	// Companions are the other parts that a prompt must also have for the request to be refused.
	Companions []quarantine.ID `json:"companions,omitempty"`
}

// quarantineList is the response to GET /quarantine.
type quarantineList struct {
	Requests     []quarantineEntry `json:"requests"`
	Suspects     int               `json:"suspects"`
	Parts        []quarantineEntry `json:"prompt_parts,omitempty"`
	SuspectParts int               `json:"suspect_prompt_parts,omitempty"`
}

// operationsHandler returns the handler of the metrics and the quarantine API:
//
//	GET    /quarantine      lists quarantined requests and prompt parts, and the servers that exited while running them
//	DELETE /quarantine/ID   lifts the quarantine of a request or prompt part, at all gateways
func (g *Gateway) operationsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", telemetry.Handler())
	mux.HandleFunc("GET /quarantine", g.listQuarantine)
	mux.HandleFunc("DELETE /quarantine/{id}", g.liftQuarantine)
	return mux
}

func (g *Gateway) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	response := quarantineList{Requests: []quarantineEntry{}}
	requests, suspects := g.quarantine.List()
	response.Suspects = suspects
	for _, r := range requests {
		response.Requests = append(response.Requests, quarantineEntry{Request: r.ID.String(), Since: r.Verdict.Since, Until: r.Verdict.Until, Trials: r.Verdict.Trials, Servers: r.Verdict.Servers})
	}
	parts, suspects := g.parts.List()
	response.SuspectParts = suspects
	for _, p := range parts {
		response.Parts = append(response.Parts, quarantineEntry{PartID: p.ID.String(), Name: p.Verdict.Part, Since: p.Verdict.Since, Until: p.Verdict.Until, Trials: p.Verdict.Trials, Servers: p.Verdict.Servers, Companions: p.Verdict.Companions})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(response); err != nil {
		g.logger.Warn("cannot write the list of quarantined requests", "error", err)
	}
}

func (g *Gateway) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	id, err := quarantine.ParseID(r.PathValue("id"))
	if err != nil {
		http.Error(w, err.Error(), fault.From(err).HTTPStatus())
		return
	}
	if !g.quarantine.Lift(id, g.now()) && !g.parts.Lift(id, g.now()) {
		http.Error(w, "neither a request nor a prompt part with this ID is quarantined", http.StatusNotFound)
		return
	}
	g.logger.Info("quarantine lifted by an operator", "id", id.String(), "from", r.RemoteAddr)
	w.WriteHeader(http.StatusNoContent)
}
