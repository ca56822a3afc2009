package objects

import (
	"reflect"
	"sort"
)

// Object is an object of any kind.
type Object struct {
	Kind Kind
	Name string
	// Value is a pointer to the typed object, such as *Team.
	Value any
}

// Kinds returns all kinds in a fixed order.
func Kinds() []Kind {
	return []Kind{
		KindRegion, KindFailureDomain, KindModel, KindBackendServer, KindService,
		KindRoute, KindResidencyRule, KindTeam, KindPolicy, KindLimits,
	}
}

// New returns a pointer to an empty object of the kind, such as *Team, or nil if
// the kind is unknown.
func New(kind Kind) any {
	switch kind {
	case KindRegion:
		return &Region{}
	case KindFailureDomain:
		return &FailureDomain{}
	case KindModel:
		return &Model{}
	case KindBackendServer:
		return &BackendServer{}
	case KindService:
		return &Service{}
	case KindRoute:
		return &Route{}
	case KindResidencyRule:
		return &ResidencyRule{}
	case KindTeam:
		return &Team{}
	case KindPolicy:
		return &Policy{}
	case KindLimits:
		return &Limits{}
	default:
		return nil
	}
}

// NameOf returns the name of a typed object, such as *Team, or "" if it has no
// field Name.
func NameOf(value any) string {
	field := reflect.Indirect(reflect.ValueOf(value)).FieldByName("Name")
	if !field.IsValid() {
		return ""
	}
	return field.String()
}

// Add adds a typed object, such as *Team, to the set. It returns false and
// leaves the set unchanged if the kind already has an object of that name or the
// type is unknown. It must not be called after the set is shared.
func (s *Set) Add(value any) bool {
	switch v := value.(type) {
	case *Region:
		return addTo(s.Regions, v.Name, v)
	case *FailureDomain:
		return addTo(s.FailureDomains, v.Name, v)
	case *Model:
		return addTo(s.Models, v.Name, v)
	case *BackendServer:
		return addTo(s.BackendServers, v.Name, v)
	case *Service:
		return addTo(s.Services, v.Name, v)
	case *Route:
		return addTo(s.Routes, v.Name, v)
	case *ResidencyRule:
		return addTo(s.ResidencyRules, v.Name, v)
	case *Team:
		return addTo(s.Teams, v.Name, v)
	case *Policy:
		return addTo(s.Policies, v.Name, v)
	case *Limits:
		return addTo(s.Limits, v.Name, v)
	default:
		return false
	}
}

func addTo[T any](m map[string]T, name string, value T) bool {
	if _, taken := m[name]; taken {
		return false
	}
	m[name] = value
	return true
}

// Objects returns all objects, sorted by kind, in the order of Kinds, and then
// by name.
func (s *Set) Objects() []Object {
	list := make([]Object, 0, s.Len())
	list = appendObjects(list, KindRegion, s.Regions)
	list = appendObjects(list, KindFailureDomain, s.FailureDomains)
	list = appendObjects(list, KindModel, s.Models)
	list = appendObjects(list, KindBackendServer, s.BackendServers)
	list = appendObjects(list, KindService, s.Services)
	list = appendObjects(list, KindRoute, s.Routes)
	list = appendObjects(list, KindResidencyRule, s.ResidencyRules)
	list = appendObjects(list, KindTeam, s.Teams)
	list = appendObjects(list, KindPolicy, s.Policies)
	return appendObjects(list, KindLimits, s.Limits)
}

func appendObjects[T any](list []Object, kind Kind, m map[string]T) []Object {
	for _, name := range sortedNames(m) {
		list = append(list, Object{Kind: kind, Name: name, Value: m[name]})
	}
	return list
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Len returns the number of objects.
func (s *Set) Len() int {
	return len(s.Regions) + len(s.FailureDomains) + len(s.Models) + len(s.BackendServers) +
		len(s.Services) + len(s.Routes) + len(s.ResidencyRules) + len(s.Teams) +
		len(s.Policies) + len(s.Limits)
}
