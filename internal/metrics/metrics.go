// Package metrics holds a program's metrics and serves them as text.
package metrics

import (
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally passes its values to the reporter.
const reportInterval = time.Second

// Metrics holds the root scope and the handler that serves it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
}

// New returns the metrics of a program.
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
