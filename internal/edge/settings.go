// Package edge assembles the gateway process of one VM: request serving, the
// directory of entries, membership and configuration.
package edge

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/linkuse"
	"github.com/chestnutspring/chestnutspring/internal/listenlimit"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("edge").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrSettings means that the settings are invalid. Its message lists every
	// fault.
	ErrSettings = Errors.NewType("settings")
	// ErrListen means that listening on an address failed.
	ErrListen = Errors.NewType("listen")
)

// Settings are the settings of one VM.
type Settings struct {
	VM            string
	Region        string
	FailureDomain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// CallerListen, ReadyListen, ControlListen and DirectoryListen are addresses
	// to listen on, as IP:port. DirectoryListen may be empty.
	CallerListen, ReadyListen, ControlListen, DirectoryListen string
	// HopListen is the address for requests of other VMs, and OperatorListen the
	// one for metrics and the state dump.
	HopListen, OperatorListen string
	// Seeds holds control addresses of other VMs. They may be outdated.
	Seeds []string
	// FirstStart means that the whole fleet starts for the first time.
	FirstStart bool
	// RegistryAddress is the address of the platform's registry. The registry
	// serves RegistryCallsPerSecond for all VMs together.
	RegistryAddress        string
	RegistryCallsPerSecond float64
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// MaxDirectoryTTL bounds how long callers may cache a response of the
	// directory; zero means no bound.
	MaxDirectoryTTL time.Duration
	// RetrySlack is the number of retries by the whole fleet that a service
	// tolerates in a RetryWindow, beyond a share of its requests.
	RetrySlack  float64
	RetryWindow time.Duration
	// Cold bounds the requests to cold backend servers.
	Cold balance.Bounds
	// RevocationBound is the time after the confirmation of a configuration from which keys
	// that it removed open nothing, on VMs that are cut off too; zero means no bound.
	RevocationBound time.Duration
	// LimitWindow is the span in which what a team uses is compared with its limit, and
	// LimitOverage and LimitSlack are the share of it and the units by which all VMs together
	// may exceed it.
	LimitWindow              time.Duration
	LimitOverage, LimitSlack float64
	// MemoryBytes is the memory that the process may use; zero means unknown.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may have open; zero means that
	// its own limit applies.
	Descriptors int
	// Clients are the bounds of what clients may hold.
	Clients listenlimit.Settings
	// Cores is the VM's share of a processor core and LinkMbps the rate of its
	// network link in Mbit/s; zero means unknown.
	Cores, LinkMbps float64
	// Meter counts the traffic of the process; nil counts none.
	Meter *linkuse.Meter
	// ServerDialer opens the connections to backend servers; nil means the system's.
	ServerDialer upstream.Dialer
	// PeerDialer opens the connections to other VMs; nil means the system's.
	PeerDialer upstream.Dialer
}

const (
	// requestsPerCore is the number of requests per second that a core serves:
	// about a millisecond each, including its share of gossip.
	requestsPerCore = 1000
	// requestsPerMbps is the number of requests per second that a link of
	// 1 Mbit/s carries: a long prompt and its response take about 12 KB each way.
	requestsPerMbps = 10
)

// capacity returns the number of requests per second that the VM can serve; zero
// means unknown.
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
	// plannedFleetVMs is the number of VMs in the operators' plan, among which
	// the registry's call rate is divided.
	plannedFleetVMs = 400
	// minRegistryCallRate is the minimum call rate of this VM per second, enough
	// for two watches that keep failing.
	minRegistryCallRate = 4
	// registryCallBurst is the burst size of the call limit, which covers the start
	// of the process.
	registryCallBurst = 12
)

// RegistryLimit returns a limiter for this VM's share of the registry's call rate.
func (s *Settings) RegistryLimit() *rate.Limiter {
	return rate.NewLimiter(rate.Limit(max(minRegistryCallRate, s.RegistryCallsPerSecond/plannedFleetVMs)), registryCallBurst)
}

// minGrace is the shortest time in which a shutdown can finish requests.
const minGrace = time.Second

// minRetryWindow is the shortest span in which retries can be counted.
const minRetryWindow = 100 * time.Millisecond

// Check validates the settings. Its error is ErrSettings and lists every fault.
func (s *Settings) Check() error {
	var faults []string
	addFault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	for _, f := range []struct{ name, value string }{
		{"VM", s.VM}, {"region", s.Region}, {"failure domain", s.FailureDomain},
	} {
		if f.value == "" {
			addFault("the %s is missing", f.name)
		}
	}
	for _, f := range []struct{ name, value string }{
		{"callers", s.CallerListen}, {"ready", s.ReadyListen}, {"control", s.ControlListen},
		{"hops", s.HopListen}, {"operators", s.OperatorListen}, {"registry", s.RegistryAddress},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			addFault("the address for %s, %q, is not IP:port", f.name, f.value)
		}
	}
	for _, seed := range append(slices.Clone(s.Seeds), s.optionalListen()...) {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			addFault("the address %q is not IP:port", seed)
		}
	}
	if region, ok := s.Regions[s.FailureDomain]; s.FailureDomain != "" && (!ok || region != s.Region) {
		addFault("the failure domain %s is not listed in region %s", s.FailureDomain, s.Region)
	}
	if s.Grace < minGrace {
		addFault("the grace time %v is below %v", s.Grace, minGrace)
	}
	if s.RetryWindow < minRetryWindow {
		addFault("the retry window %v is below %v", s.RetryWindow, minRetryWindow)
	}
	if s.Cold.ColdOverage < 0 || s.Cold.ColdSlack < 0 || s.RetrySlack < 0 || s.RegistryCallsPerSecond < 0 || s.MaxDirectoryTTL < 0 || s.Cores < 0 || s.LinkMbps < 0 ||
		s.RevocationBound < 0 || s.LimitWindow < 0 || s.LimitOverage < 0 || s.LimitSlack < 0 || s.Descriptors < 0 {
		addFault("a numeric setting is below 0")
	}
	faults = append(faults, s.Clients.Check()...)
	if len(faults) > 0 {
		return ErrSettings.New("%s", strings.Join(faults, "; "))
	}
	return nil
}

func (s *Settings) optionalListen() []string {
	if s.DirectoryListen == "" {
		return nil
	}
	return []string{s.DirectoryListen}
}

// recordDialer returns the dialer of the connections for records. The mesh bounds the time of
// connection setup.
func (s *Settings) recordDialer() upstream.Dialer {
	if s.PeerDialer != nil {
		return s.PeerDialer
	}
	return &net.Dialer{}
}
