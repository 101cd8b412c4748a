package gateway

import (
	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/ratelimit"
)

// UseRateLimiter replaces the limiter that enforces the rates which backend servers state. It must be
// called before the gateway handles requests.
func (g *Gateway) UseRateLimiter(l *ratelimit.Limiter) {
	g.notices = notice.NewRegistry(l, g.logNoticeChange)
}
