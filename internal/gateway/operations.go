package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// quarantineEntry is the JSON representation of a quarantined request.
type quarantineEntry struct {
	Request string    `json:"request"`
	Since   time.Time `json:"since"`
	Until   time.Time `json:"refused_until"`
	Trials  int       `json:"trials"`
	Servers []string  `json:"servers"`
}

// operationsHandler returns the handler of the metrics and the quarantine API:
//
//	GET    /quarantine            lists quarantined requests and the servers that exited while running them
//	DELETE /quarantine/REQUEST    lifts the quarantine of a request, at all gateways
func (g *Gateway) operationsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", telemetry.Handler())
	mux.HandleFunc("GET /quarantine", g.listQuarantine)
	mux.HandleFunc("DELETE /quarantine/{request}", g.liftQuarantine)
	return mux
}

func (g *Gateway) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	quarantined, suspects := g.quarantine.List()
	response := struct {
		Requests []quarantineEntry `json:"requests"`
		Suspects int               `json:"suspects"`
	}{[]quarantineEntry{}, suspects}
	for _, q := range quarantined {
		response.Requests = append(response.Requests, quarantineEntry{q.ID.String(), q.Verdict.Since, q.Verdict.Until, q.Verdict.Trials, q.Verdict.Servers})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(response); err != nil {
		g.logger.Warn("cannot write the list of quarantined requests", "error", err)
	}
}

func (g *Gateway) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	id, err := quarantine.ParseID(r.PathValue("request"))
	if err != nil {
		http.Error(w, err.Error(), fault.From(err).HTTPStatus())
		return
	}
	if !g.quarantine.Lift(id, g.now()) {
		http.Error(w, "the request is not quarantined", http.StatusNotFound)
		return
	}
	g.logger.Info("quarantine lifted by an operator", "request", id.String(), "from", r.RemoteAddr)
	w.WriteHeader(http.StatusNoContent)
}
