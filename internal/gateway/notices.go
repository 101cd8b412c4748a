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

// applyNotices applies and counts the notices in a response to a request that was sent at sentAt. It
// returns them for the request's log line, or nil if there are none.
func (g *Gateway) applyNotices(server registry.Server, notices *notice.ResponseNotices, sentAt time.Time) *notice.ResponseNotices {
	if notices == nil {
		return nil
	}
	now := g.now()
	g.notices.RecordResponse(server.InstanceID(), *notices, sentAt, now)
	for _, kind := range notices.Kinds() {
		telemetry.Count("merlinpost_server_notices_total", "service", server.Service, "kind", string(kind))
	}
	for _, kind := range notices.Malformed {
		telemetry.Count("merlinpost_server_notices_unreadable_total", "service", server.Service, "kind", string(kind))
		if g.logLimiter.Allow("notice unreadable", now) {
			g.logger.Warn("notice of a backend server can't be read", "server", server.InstanceID(), "kind", string(kind))
		}
	}
	if notices.Empty() {
		return nil
	}
	return notices
}

// logNoticeChange counts a notice that has come into force or ended, and logs it within a rate limit.
func (g *Gateway) logNoticeChange(e notice.Event) {
	change := "stated"
	if e.Ended {
		change = "ended"
	}
	telemetry.Count("merlinpost_server_notice_changes_total", "kind", string(e.Kind), "change", change)
	if !g.logLimiter.Allow("notice "+change, g.now()) {
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

// hasNotices reports whether a response to the request had notices.
func (q *request) hasNotices() bool {
	for _, s := range q.sends {
		if s.Notices != nil {
			return true
		}
	}
	return false
}

// maxLoggedNotices limits the notices in a request's log line.
const maxLoggedNotices = 4

// recordNotices stores the notices in force for the service's servers for the request's log line.
func (g *Gateway) recordNotices(q *request) {
	if g.notices.Empty() {
		return
	}
	now := g.now()
	q.knownNotices = q.knownNotices[:0]
	for _, b := range g.servers.Ready(q.service) {
		server := b.Server()
		for _, s := range g.notices.Active(server.InstanceID(), now) {
			if len(q.knownNotices) < maxLoggedNotices {
				q.knownNotices = append(q.knownNotices, s)
			}
		}
	}
}

// anyRateLimited reports whether a server of a service states a rate limit.
func (g *Gateway) anyRateLimited(service string) bool {
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

// RateLimitedServers returns the servers that state a rate limit, by group.
func (g *Gateway) RateLimitedServers() map[permit.Group][]string {
	out := map[permit.Group][]string{}
	for _, instance := range g.notices.Limits().Servers() {
		if server, listed := g.servers.FindInstance(instance); listed {
			group := permit.Group{Service: server.Service, Index: placement.GroupOf(server.ID, g.groupCount(server.Service))}
			out[group] = append(out[group], instance)
		}
	}
	return out
}

// retryAfterJitter is the maximum jitter added to Retry-After while servers back off, as a fraction of
// the time until the first of them accepts requests. It keeps callers from all retrying at that moment.
const retryAfterJitter = 0.5

// unavailableError returns the error for a request that none of the listed servers can receive. If all of
// them were tried or are backing off, Retry-After is derived from the backoff that ends first.
func (g *Gateway) unavailableError(q *request, listed []placement.Candidate) error {
	backoff := time.Duration(0)
	for _, c := range listed {
		if c.RetryAfter == 0 && !c.Tried {
			return g.noServerError(q)
		}
		if c.RetryAfter > 0 && (backoff == 0 || c.RetryAfter < backoff) {
			backoff = c.RetryAfter
		}
	}
	if backoff == 0 {
		return g.noServerError(q)
	}
	telemetry.Count("merlinpost_requests_held_back_total", "kind", string(notice.Backoff))
	retryAfter := max(backoff+time.Duration(retryAfterJitter*g.random()*float64(backoff)), noServerRetryAfter)
	return fault.New(fault.ServersInBackoff, "the backend servers of service %q accept no requests for %s", q.service, backoff).
		WithOutcome(fault.NotRun).WithRetryAfter(min(retryAfter, maxRetryAfter))
}

// rateLimitedError returns the error for a request that servers can't receive because of their rate limits.
func (g *Gateway) rateLimitedError(servers int, wait time.Duration) error {
	telemetry.Count("merlinpost_requests_held_back_total", "kind", string(notice.RateLimit))
	return fault.New(fault.ServerRateLimit, "%d backend servers have reached their stated rate limits", servers).
		WithOutcome(fault.NotRun).WithRetryAfter(max(wait, noServerRetryAfter))
}
