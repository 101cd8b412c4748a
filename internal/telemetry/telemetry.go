// Package telemetry holds the process's metrics and its logger. Counters come
// first; log lines are for changes of state only.
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

// labelEscapes quotes a label's value as the Prometheus text format asks.
var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// name builds a metric name from label pairs.
func name(metric string, labels []string) string {
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
		b.WriteString(labelEscapes.Replace(labels[i+1]))
		b.WriteByte('"')
	}
	b.WriteByte('}')
	return b.String()
}

// Count adds 1 to a counter; labels are name and value in turn.
func Count(metric string, labels ...string) {
	metrics.GetOrCreateCounter(name(metric, labels)).Inc()
}

// Add adds n to a counter.
func Add(metric string, n int, labels ...string) {
	metrics.GetOrCreateCounter(name(metric, labels)).Add(n)
}

// Gauge sets a gauge.
func SetGauge(metric string, value float64, labels ...string) {
	metrics.GetOrCreateGauge(name(metric, labels), nil).Set(value)
}

// Seconds records a duration in a histogram.
func ObserveDuration(metric string, d time.Duration, labels ...string) {
	metrics.GetOrCreateHistogram(name(metric, labels)).Update(d.Seconds())
}

// Handler serves the metrics in the Prometheus text format.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		metrics.WritePrometheus(w, true)
	})
}

// NewLogger returns a logger as the settings ask.
func NewLogger(w io.Writer, set settings.Logging) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(set.Level)) // settings were checked
	opts := &slog.HandlerOptions{Level: level}
	if set.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}
