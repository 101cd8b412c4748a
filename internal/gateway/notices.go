package gateway

import (
	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// heard takes in what an answer says of its server, and returns it for the decision line; nil for
// nothing.
func (g *Gateway) heard(server registry.Server, said *notice.Said) *notice.Said {
	if said == nil || said.Silent() {
		return nil
	}
	for _, kind := range said.Kinds() {
		telemetry.Count("merlinpost_server_notices_total", "service", server.Service, "kind", string(kind))
	}
	for _, kind := range said.Unreadable {
		telemetry.Count("merlinpost_server_notices_unreadable_total", "service", server.Service, "kind", string(kind))
		if g.failureLines.Allow("notice unreadable", g.now()) {
			g.logger.Warn("notice of a backend server can't be read", "server", server.Start(), "kind", string(kind))
		}
	}
	return said
}

// spoke reports whether a server has said something of itself to the request.
func (q *request) spoke() bool {
	for _, s := range q.sends {
		if s.Said != nil {
			return true
		}
	}
	return false
}
