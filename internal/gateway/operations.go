package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// quarantineDoc is a quarantined request as operators see it.
type quarantineDoc struct {
	Request string    `json:"request"`
	Since   time.Time `json:"since"`
	Until   time.Time `json:"refused_until"`
	Trials  int       `json:"trials"`
	Servers []string  `json:"servers"`
}

// operations serves the metrics page and the quarantine:
//
//	GET    /quarantine            the requests that are refused, and which servers ended under them
//	DELETE /quarantine/REQUEST    lifts the quarantine of one, at all gateways
func (g *Gateway) operations() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", telemetry.Handler())
	mux.HandleFunc("GET /quarantine", g.listQuarantine)
	mux.HandleFunc("DELETE /quarantine/{request}", g.liftQuarantine)
	return mux
}

func (g *Gateway) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	list, suspects := g.ledger.List()
	doc := struct {
		Requests []quarantineDoc `json:"requests"`
		Suspects int             `json:"suspects"`
	}{[]quarantineDoc{}, suspects}
	for _, q := range list {
		doc.Requests = append(doc.Requests, quarantineDoc{q.ID.String(), q.Verdict.Since, q.Verdict.Until, q.Verdict.Trials, q.Verdict.Servers})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(doc); err != nil {
		g.logger.Warn("quarantine not listed", "error", err)
	}
}

func (g *Gateway) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	id, err := quarantine.ParseID(r.PathValue("request"))
	if err != nil {
		http.Error(w, err.Error(), fault.From(err).HTTPStatus())
		return
	}
	if !g.ledger.Lift(id, g.now()) {
		http.Error(w, "the request is not quarantined", http.StatusNotFound)
		return
	}
	g.logger.Info("quarantine lifted by an operator", "request", id.String(), "from", r.RemoteAddr)
	w.WriteHeader(http.StatusNoContent)
}
