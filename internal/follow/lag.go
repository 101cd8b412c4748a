package follow

import (
	"log/slog"
	"time"

	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// lag watches whether the configuration in force is behind the newest that any gateway
// has told of. It is not safe for concurrent use.
type lag struct {
	logger *slog.Logger
	since  time.Time // when a newer one was first heard of; zero while none is
	told   bool      // the line has been written
}

// note takes in the version in force and the newest heard of. A lag that lasts longer
// than within gets one line, with why the newest could not be read so far, and one more
// at its end.
func (l *lag) note(inForce, newest int64, why error, within time.Duration, now time.Time) {
	telemetry.SetGauge("merlinpost_config_newest_heard", float64(max(inForce, newest)))
	if newest <= inForce {
		if l.told {
			l.logger.Info("configuration caught up", "config", inForce, "was_behind", now.Sub(l.since))
		}
		l.since, l.told = time.Time{}, false
		telemetry.SetGauge("merlinpost_config_behind_seconds", 0)
		return
	}
	if l.since.IsZero() {
		l.since = now
	}
	behind := now.Sub(l.since)
	telemetry.SetGauge("merlinpost_config_behind_seconds", behind.Seconds())
	if behind > within && !l.told {
		l.told = true
		l.logger.Warn("configuration behind", "config", inForce, "newest_heard", newest, "behind", behind, "why", why)
	}
}
