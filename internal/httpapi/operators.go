package httpapi

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/go-chi/chi/v5"
)

// OperatorsConfig configures the operators' port.
type OperatorsConfig struct {
	// Ready reports whether the process is ready to serve.
	Ready func() bool
	// Metrics serves the metrics.
	Metrics http.Handler
	// State returns the state dump, which is encoded as JSON.
	State func() any
}

// NewOperators returns the handler of the operators' port.
func NewOperators(config OperatorsConfig) http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok\n") })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !config.Ready() {
			writeText(w, http.StatusServiceUnavailable, "no configuration in force\n")
			return
		}
		writeText(w, http.StatusOK, "ready\n")
	})
	r.Handle("/metrics", config.Metrics)
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	r.Get("/debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(config.State()); err != nil {
			writeText(w, http.StatusInternalServerError, err.Error())
		}
	})
	return r
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.WriteHeader(status)
	// An error means that the caller disconnected.
	_, _ = w.Write([]byte(text))
}
