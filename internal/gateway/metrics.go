package gateway

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally passes its values to the reporter.
const reportInterval = time.Second

// metrics holds the root scope and the handler that serves it.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
}

func newMetrics() *metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "chestnut",
		Separator:              prometheus.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{scope: scope, handler: reporter.HTTPHandler()}
}
