// Package edge assembles the process that serves routed services on one VM:
// callers' requests, the directory, the membership and the configuration.
package edge

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"github.com/chestnutspring/chestnutspring/internal/balance"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("edge").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrSettings says that the settings are wrong. Its message lists every
	// fault.
	ErrSettings = Errors.NewType("settings")
	// ErrListen says that an address could not be listened on.
	ErrListen = Errors.NewType("listen")
)

// Settings are the settings of one VM.
type Settings struct {
	VM            string
	Region        string
	FailureDomain string
	// Regions names the region of each failure domain.
	Regions map[string]string
	// CallerListen, ReadyListen, ControlListen and DirectoryListen are addresses to listen on, as
	// IP:port. DirectoryListen may be empty.
	CallerListen, ReadyListen, ControlListen, DirectoryListen string
	// HopListen is the address for requests of other VMs, and OperatorListen the one
	// for metrics and the dump of state.
	HopListen, OperatorListen string
	// Seeds are control addresses of other VMs. They may be stale.
	Seeds []string
	// RegistryAddress is the address of the platform's registry, which serves
	// RegistryReads calls a second to all VMs together.
	RegistryAddress        string
	RegistryCallsPerSecond float64
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// MaxDirectoryTTL bounds how long callers may keep an answer of the directory.
	MaxDirectoryTTL time.Duration
	// RetrySlack is how many repeats a service tolerates of the whole fleet in
	// a RetryWindow, beyond a share of its requests.
	RetrySlack  float64
	RetryWindow time.Duration
	Cold        balance.Bounds
	// MemoryBytes is the memory that the process may use; zero is unknown.
	MemoryBytes int64
	// Cores is the VM's share of a processor core and LinkMbps the rate of its
	// network link in Mbit/s; zero is unknown.
	Cores, LinkMbps float64
}

const (
	// requestsPerCore is the number of requests a second that a core serves:
	// about a millisecond each, with its part of the fleet's exchanges.
	requestsPerCore = 1000
	// requestsPerMbps is the number that a link of a Mbit/s carries: a long
	// prompt and its answer take some 12 KB each way.
	requestsPerMbps = 10
)

// capacity returns how many requests a second the VM can take; zero is unknown.
func (s *Settings) capacity() float64 {
	switch {
	case s.Cores <= 0:
		return s.LinkMbps * requestsPerMbps
	case s.LinkMbps <= 0:
		return s.Cores * requestsPerCore
	default:
		return min(s.Cores*requestsPerCore, s.LinkMbps*requestsPerMbps)
	}
}

const (
	// vmsPerRegistry is the number of VMs among which the registry's rate is
	// divided; it is the number of the operators' plan.
	vmsPerRegistry = 400
	// leastCallRate is this VM's least rate of calls a second, enough for two
	// watches that keep failing.
	leastCallRate = 4
	// callBurst is the number of calls beyond the rate, for a start.
	callBurst = 12
)

// RegistryLimit returns this VM's part of the calls that the registry serves.
func (s *Settings) RegistryLimit() *rate.Limiter {
	return rate.NewLimiter(rate.Limit(max(leastCallRate, s.RegistryCallsPerSecond/vmsPerRegistry)), callBurst)
}

// leastGrace is the shortest time in which a shutdown can finish requests.
const leastGrace = time.Second

// leastRetryWindow is the shortest span in which retries can be counted.
const leastRetryWindow = 100 * time.Millisecond

// Check lists every fault of the settings in one error.
func (s *Settings) Check() error {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	for _, f := range []struct{ name, value string }{
		{"VM", s.VM}, {"region", s.Region}, {"failure domain", s.FailureDomain},
	} {
		if f.value == "" {
			fault("the %s is missing", f.name)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"callers", s.CallerListen}, {"ready", s.ReadyListen}, {"control", s.ControlListen},
		{"hops", s.HopListen}, {"operators", s.OperatorListen}, {"registry", s.RegistryAddress},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			fault("the address for %s, %q, is not IP:port", f.name, f.value)
		}
	}
	for _, seed := range append(slices.Clone(s.Seeds), s.optional()...) {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			fault("the address %q is not IP:port", seed)
		}
	}
	if region, ok := s.Regions[s.FailureDomain]; s.FailureDomain != "" && (!ok || region != s.Region) {
		fault("the failure domain %s is not listed in region %s", s.FailureDomain, s.Region)
	}
	if s.Grace < leastGrace {
		fault("the grace time %v is below %v", s.Grace, leastGrace)
	}
	if s.RetryWindow < leastRetryWindow {
		fault("the retry window %v is below %v", s.RetryWindow, leastRetryWindow)
	}
	if s.Cold.ColdOverage < 0 || s.Cold.ColdSlack < 0 || s.RetrySlack < 0 || s.RegistryCallsPerSecond < 0 || s.MaxDirectoryTTL < 0 || s.Cores < 0 || s.LinkMbps < 0 {
		fault("a bound is below 0")
	}
	if len(faults) > 0 {
		return ErrSettings.New("%s", strings.Join(faults, "; "))
	}
	return nil
}

func (s *Settings) optional() []string {
	if s.DirectoryListen == "" {
		return nil
	}
	return []string{s.DirectoryListen}
}
