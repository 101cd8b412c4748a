package follow

import (
	"log/slog"
	"time"

	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// lagMonitor tracks whether the active configuration is older than the newest version reported by
// any gateway. It is not safe for concurrent use.
type lagMonitor struct {
	logger *slog.Logger
	since  time.Time // when a newer version was first reported; zero if none is
	logged bool      // the current lag has been logged
}

// observe records the active version and the newest one reported. A lag longer than within is
// logged once, with the reason why the newest version could not be read, and once more when it
// ends.
func (l *lagMonitor) update(inForce, newest int64, why error, within time.Duration, now time.Time) {
	telemetry.SetGauge("merlinpost_config_newest_heard", float64(max(inForce, newest)))
	if newest <= inForce {
		if l.logged {
			l.logger.Info("configuration caught up", "config", inForce, "was_behind", now.Sub(l.since))
		}
		l.since, l.logged = time.Time{}, false
		telemetry.SetGauge("merlinpost_config_behind_seconds", 0)
		return
	}
	if l.since.IsZero() {
		l.since = now
	}
	behind := now.Sub(l.since)
	telemetry.SetGauge("merlinpost_config_behind_seconds", behind.Seconds())
	if behind > within && !l.logged {
		l.logged = true
		l.logger.Warn("configuration behind", "config", inForce, "newest_heard", newest, "behind", behind, "why", why)
	}
}
