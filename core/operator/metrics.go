package operator

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the interval at which metrics are reported to the Prometheus reporter.
const metricsInterval = time.Second

// Metrics is the metrics scope of one process with the HTTP handler for Prometheus.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a metrics scope whose names start with prefix.
func NewMetrics(prefix string) *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{DefaultTimerType: prometheus.HistogramTimerType})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close ends reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
