package follow

import (
	"log/slog"
	"time"

	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// lagMonitor tracks for how long the active configuration has been older than the newest version
// that any gateway has reported. It is not safe for concurrent use.
type lagMonitor struct {
	logger *slog.Logger
	since  time.Time // when a newer version was first reported; zero if none is
	logged bool      // the current lag has been logged
}

// update records the active version and the newest one reported. A lag longer than maxLag is logged
// once, with readErr as its cause, and once more when it ends.
func (l *lagMonitor) update(active, newest int64, readErr error, maxLag time.Duration, now time.Time) {
	telemetry.SetGauge("merlinpost_config_newest_heard", float64(max(active, newest)))
	if newest <= active {
		if l.logged {
			l.logger.Info("configuration caught up", "config", active, "was_behind", now.Sub(l.since))
		}
		l.since, l.logged = time.Time{}, false
		telemetry.SetGauge("merlinpost_config_behind_seconds", 0)
		return
	}
	if l.since.IsZero() {
		l.since = now
	}
	lag := now.Sub(l.since)
	telemetry.SetGauge("merlinpost_config_behind_seconds", lag.Seconds())
	if lag > maxLag && !l.logged {
		l.logged = true
		l.logger.Warn("configuration behind", "config", active, "newest_heard", newest, "behind", lag, "why", readErr)
	}
}
