package serverlimit

import (
	"math"
	"strconv"
	"strings"
)

// Statement is what a response of a backend server says of a limit.
type Statement struct {
	// Named means that the response names the limit, and Value is the limit as it was
	// sent: the requests, or refusals, per second.
	Named bool
	Value string
}

// parse returns the limit in requests or refusals per second. It returns false unless the value
// is a positive and finite number.
func (s Statement) parse() (perSecond float64, ok bool) {
	v, err := strconv.ParseFloat(strings.TrimSpace(s.Value), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v <= 0 {
		return 0, false
	}
	return v, true
}
