package answer

import (
	"net/http"
	"time"
)

// InterruptBody returns a function that makes the read of a request's body fail.
func InterruptBody(w http.ResponseWriter) func() {
	return func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) }
}
