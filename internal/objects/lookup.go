package objects

import (
	"slices"
	"sort"
	"strings"
)

// Index builds the lookup indexes. It must be called once, before the set is
// shared.
func (s *Set) Index() {
	s.backendsOf = map[string][]*BackendServer{}
	s.routeOf = map[string]*Route{}
	for _, b := range s.BackendServers {
		target := b.Spec.Model + b.Spec.Service
		s.backendsOf[target] = append(s.backendsOf[target], b)
	}
	for _, list := range s.backendsOf {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
	for _, r := range s.Routes {
		s.routeOf[r.Spec.Model+r.Spec.Service] = r
	}
}

// BackendsOf returns the backend servers of a model or service, sorted by name.
// The slice must not be modified.
func (s *Set) BackendsOf(target string) []*BackendServer { return s.backendsOf[target] }

// RouteOf returns the route of a model or service, or nil.
func (s *Set) RouteOf(target string) *Route { return s.routeOf[target] }

// PolicyOf returns the policy of the route of a model or service, or nil.
func (s *Set) PolicyOf(target string) *Policy {
	r := s.routeOf[target]
	if r == nil {
		return nil
	}
	return s.Policies[r.Spec.Policy]
}

// RegionOf returns the region of a failure domain, or "".
func (s *Set) RegionOf(failureDomain string) string {
	fd := s.FailureDomains[failureDomain]
	if fd == nil {
		return ""
	}
	return fd.Spec.Region
}

// LinkBetween returns the link from one region to another, or nil.
func (s *Set) LinkBetween(from, to string) *Link {
	r := s.Regions[from]
	if r == nil {
		return nil
	}
	for i := range r.Spec.Links {
		if r.Spec.Links[i].To == to {
			return &r.Spec.Links[i]
		}
	}
	return nil
}

// Permits reports whether the team's data may be in the region. It returns false
// if the team or its residency rule doesn't exist.
func (s *Set) Permits(team, region string) bool {
	t := s.Teams[team]
	if t == nil {
		return false
	}
	if t.Spec.Residency == "" {
		return true
	}
	rule := s.ResidencyRules[t.Spec.Residency]
	return rule != nil && slices.Contains(rule.Spec.Regions, region)
}

// RouteAllows reports whether the target's route allows the region to serve it.
func (s *Set) RouteAllows(target, region string) bool {
	r := s.routeOf[target]
	if r == nil {
		return false
	}
	return len(r.Spec.Regions) == 0 || slices.Contains(r.Spec.Regions, region)
}

// CallOf returns the service's call with the longest path prefix that matches
// method and path, or nil.
func (s *Set) CallOf(service, method, path string) *Call {
	svc := s.Services[service]
	if svc == nil {
		return nil
	}
	var best *Call
	for i := range svc.Spec.Calls {
		c := &svc.Spec.Calls[i]
		if c.Method != method || !strings.HasPrefix(path, c.PathPrefix) {
			continue
		}
		if best == nil || len(c.PathPrefix) > len(best.PathPrefix) {
			best = c
		}
	}
	return best
}
