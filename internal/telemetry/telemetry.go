// Package telemetry provides the metrics and the logger of a process. Events
// are counted in metrics; only state changes are logged.
package telemetry

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/merlinpost/merlinpost/internal/settings"
)

// labelEscaper escapes label values for the Prometheus text format.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// metricName returns the metric with its labels, given as alternating names and
// values.
func seriesName(metric string, labels []string) string {
	if len(labels) == 0 {
		return metric
	}
	var b strings.Builder
	b.WriteString(metric)
	b.WriteByte('{')
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(labels[i])
		b.WriteString(`="`)
		b.WriteString(labelEscaper.Replace(labels[i+1]))
		b.WriteByte('"')
	}
	b.WriteByte('}')
	return b.String()
}

// Count adds 1 to a counter. Labels are given as alternating names and values.
func Count(metric string, labels ...string) {
	metrics.GetOrCreateCounter(seriesName(metric, labels)).Inc()
}

// Add adds n to a counter.
func Add(metric string, n int, labels ...string) {
	metrics.GetOrCreateCounter(seriesName(metric, labels)).Add(n)
}

// SetGauge sets the value of a gauge.
func SetGauge(metric string, value float64, labels ...string) {
	metrics.GetOrCreateGauge(seriesName(metric, labels), nil).Set(value)
}

// ObserveDuration records a duration, in seconds, in a histogram.
func ObserveDuration(metric string, d time.Duration, labels ...string) {
	metrics.GetOrCreateHistogram(seriesName(metric, labels)).Update(d.Seconds())
}

// Handler serves the metrics in the Prometheus text format.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
}

// NewLogger returns a logger that writes to w with the configured format and
// level.
func NewLogger(w io.Writer, set settings.Logging) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(set.Level)) // the level was validated with the settings
	opts := &slog.HandlerOptions{Level: level}
	if set.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}
