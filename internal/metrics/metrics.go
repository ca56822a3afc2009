// Package metrics creates the metrics of a program and serves them in the
// Prometheus text format.
package metrics

import (
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes values to the reporter.
const reportInterval = time.Second

// Metrics holds the root scope and the handler that serves its metrics.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
}

// New returns empty metrics with the prefix "chestnut".
func New() *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "chestnut",
		Separator:              prometheus.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler()}
}
