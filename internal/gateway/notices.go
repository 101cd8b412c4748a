package gateway

import (
	"log/slog"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/placement"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// heard takes in what an answer says of its server, and returns it for the decision line; nil for
// nothing. The request was sent at a time.
func (g *Gateway) heard(server registry.Server, said *notice.Statement, sent time.Time) *notice.Statement {
	if said == nil {
		return nil
	}
	now := g.now()
	g.notices.RecordResponse(server.InstanceID(), *said, sent, now)
	for _, kind := range said.Kinds() {
		telemetry.Count("merlinpost_server_notices_total", "service", server.Service, "kind", string(kind))
	}
	for _, kind := range said.Unreadable {
		telemetry.Count("merlinpost_server_notices_unreadable_total", "service", server.Service, "kind", string(kind))
		if g.failureLines.Allow("notice unreadable", now) {
			g.logger.Warn("notice of a backend server can't be read", "server", server.InstanceID(), "kind", string(kind))
		}
	}
	if said.Empty() {
		return nil
	}
	return said
}

// noticed logs a change of what is known of a server.
func (g *Gateway) noticed(e notice.Event) {
	change := "stated"
	if e.Ended {
		change = "ended"
	}
	telemetry.Count("merlinpost_server_notice_changes_total", "kind", string(e.Kind), "change", change)
	if !g.failureLines.Allow("notice "+change, g.now()) {
		return
	}
	attributes := []any{slog.String("server", e.Server), slog.String("kind", string(e.Kind)), slog.String("change", change)}
	if e.Kind == notice.RateLimit && !e.Ended {
		attributes = append(attributes, slog.Float64("limit", e.Limit))
	}
	if e.Kind == notice.Backoff {
		attributes = append(attributes, slog.Duration("backoff", e.Backoff))
	}
	if e.From != "" {
		attributes = append(attributes, slog.String("told_by", e.From))
	}
	g.logger.Info("backend server's notice", attributes...)
}

// spoke reports whether a server has said something of itself to the request.
func (q *request) spoke() bool {
	for _, s := range q.sends {
		if s.Notices != nil {
			return true
		}
	}
	return false
}

// maxStanding bounds the notices that a decision line shows.
const maxStanding = 4

// noteStanding keeps what the service's servers have said of themselves for the decision line.
func (g *Gateway) noteStanding(q *request) {
	if g.notices.Empty() {
		return
	}
	now := g.now()
	q.standing = q.standing[:0]
	for _, b := range g.servers.Ready(q.service) {
		server := b.Server()
		for _, s := range g.notices.Active(server.InstanceID(), now) {
			if len(q.standing) < maxStanding {
				q.standing = append(q.standing, s)
			}
		}
	}
}

// anyLimited reports whether a server of a service states a rate.
func (g *Gateway) anyLimited(service string) bool {
	if g.notices.Empty() {
		return false
	}
	for _, b := range g.servers.Ready(service) {
		server := b.Server()
		if g.notices.Limits().Limited(server.InstanceID()) {
			return true
		}
	}
	return false
}

// Limited lists the servers that state a rate, by the group to which they belong.
func (g *Gateway) RateLimitedServers() map[permit.Group][]string {
	out := map[permit.Group][]string{}
	for _, start := range g.notices.Limits().Servers() {
		if server, listed := g.servers.FindInstance(start); listed {
			group := permit.Group{Service: server.Service, Index: placement.GroupOf(server.ID, g.groups(server.Service))}
			out[group] = append(out[group], start)
		}
	}
	return out
}

// returnSpread is the part of the time until servers take requests again by which callers are told to
// come back later than that, drawn for each, so that they do not all come with its end.
const returnSpread = 0.5

// noneOf is the answer where none of the listed servers may get the request: with when the first takes
// requests again, where all want nothing for a while.
func (g *Gateway) noneOf(q *request, listed []placement.Candidate) error {
	rests := time.Duration(0)
	for _, c := range listed {
		if c.RetryAfter == 0 && !c.Tried {
			return g.noServer(q)
		}
		if c.RetryAfter > 0 && (rests == 0 || c.RetryAfter < rests) {
			rests = c.RetryAfter
		}
	}
	if rests == 0 {
		return g.noServer(q)
	}
	telemetry.Count("merlinpost_requests_held_back_total", "kind", string(notice.Backoff))
	after := max(rests+time.Duration(returnSpread*g.draw()*float64(rests)), noServerRetryAfter)
	return fault.New(fault.ServersInBackoff, "the backend servers of service %q want nothing for %s", q.service, rests).
		WithOutcome(fault.NotRun).WithRetryAfter(min(after, longestReturn))
}

// limited is the answer where servers take no more now by the rates that they state.
func (g *Gateway) limited(servers int, wait time.Duration) error {
	telemetry.Count("merlinpost_requests_held_back_total", "kind", string(notice.RateLimit))
	return fault.New(fault.ServerRateLimit, "%d backend servers take no more requests by the rates that they state", servers).
		WithOutcome(fault.NotRun).WithRetryAfter(max(wait, noServerRetryAfter))
}
