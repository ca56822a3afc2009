package ctl

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"github.com/chestnutspring/chestnutspring/internal/bundle"
	"github.com/chestnutspring/chestnutspring/internal/objects"
)

// DiffCommand prints the differences between two sets of objects.
type DiffCommand struct {
	Old string `arg:"" help:"Directory of YAML files or of a bundle, or URL of the configuration service."`
	New string `arg:"" help:"Directory of YAML files or of a bundle, or URL of the configuration service."`
}

// Run executes the command.
func (c *DiffCommand) Run(env *Env) error {
	before, err := loadSet(c.Old)
	if err != nil {
		return err
	}
	after, err := loadSet(c.New)
	if err != nil {
		return err
	}
	changes, err := Diff(before, after)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		fmt.Fprintln(env.Out, "no difference")
		return nil
	}
	for _, change := range changes {
		fmt.Fprintln(env.Out, change)
	}
	if err := printFetchSize(env, before, after); err != nil {
		return err
	}
	return errFound
}

// printFetchSize prints how much data each gateway fetches if the change is
// published.
func printFetchSize(env *Env, before, after *objects.Set) error {
	old, err := bundle.Build(before)
	if err != nil {
		return err
	}
	next, err := bundle.Build(after)
	if err != nil {
		return err
	}
	parts, size := 0, len(next.Manifest)
	for digest, data := range next.Parts {
		if _, exists := old.Parts[digest]; !exists {
			parts++
			size += len(data)
		}
	}
	fmt.Fprintf(env.Out, "%d new parts, %d bytes with the manifest for each gateway\n", parts, size)
	return nil
}

// Change is one difference between two sets.
type Change struct {
	Kind objects.Kind
	Name string
	// Field is the path of the field; "" means the whole object.
	Field string
	// Old and New are JSON; "" means absent.
	Old string
	New string
	// Remark points out a consequence to operators; "" means none.
	Remark string
}

// String formats the change as one line.
func (c Change) String() string {
	text := fmt.Sprintf("%s %s", c.Kind, c.Name)
	switch {
	case c.Field == "" && c.Old == "":
		text = "+ " + text
	case c.Field == "":
		text = "- " + text
	default:
		text = fmt.Sprintf("~ %s %s: %s -> %s", text, c.Field, orAbsent(c.Old), orAbsent(c.New))
	}
	if c.Remark != "" {
		text += "  # " + c.Remark
	}
	return text
}

func orAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}

type objectID struct {
	kind objects.Kind
	name string
}

// Diff returns the differences between two sets: removed objects, then added and
// changed ones, with one Change for each changed field.
func Diff(before, after *objects.Set) ([]Change, error) {
	old, next := byID(before), byID(after)
	var changes []Change
	for _, o := range before.Objects() {
		if _, exists := next[objectID{o.Kind, o.Name}]; !exists {
			changes = append(changes, Change{Kind: o.Kind, Name: o.Name, Old: "{}"})
		}
	}
	for _, o := range after.Objects() {
		value, exists := old[objectID{o.Kind, o.Name}]
		if !exists {
			changes = append(changes, Change{Kind: o.Kind, Name: o.Name, New: "{}"})
			continue
		}
		fields, err := diffFields(o, value)
		if err != nil {
			return nil, err
		}
		changes = append(changes, fields...)
	}
	addRemarks(changes, before, after)
	return changes, nil
}

// byID indexes the objects of a set by kind and name.
func byID(set *objects.Set) map[objectID]any {
	index := map[objectID]any{}
	for _, o := range set.Objects() {
		index[objectID{o.Kind, o.Name}] = o.Value
	}
	return index
}

// diffFields returns the changed fields of an object, sorted by path.
func diffFields(o objects.Object, before any) ([]Change, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	next, err := flatten(o.Value)
	if err != nil {
		return nil, err
	}
	var fields []string
	for field := range old {
		fields = append(fields, field)
	}
	for field := range next {
		if _, both := old[field]; !both {
			fields = append(fields, field)
		}
	}
	sort.Strings(fields)
	var changes []Change
	for _, field := range fields {
		if old[field] != next[field] {
			changes = append(changes, Change{Kind: o.Kind, Name: o.Name, Field: field, Old: old[field], New: next[field]})
		}
	}
	return changes, nil
}

// flatten returns the scalar fields and lists of scalars of an object as JSON,
// by field path.
func flatten(value any) (map[string]string, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, ErrUnknown.Wrap(err, "object")
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, ErrUnknown.Wrap(err, "object")
	}
	flat := map[string]string{}
	return flat, flattenInto(flat, "", tree)
}

func flattenInto(flat map[string]string, path string, node any) error {
	switch n := node.(type) {
	case map[string]any:
		for key, child := range n {
			next := key
			if path != "" {
				next = path + "." + key
			}
			if err := flattenInto(flat, next, child); err != nil {
				return err
			}
		}
		return nil
	case []any:
		if !slices.ContainsFunc(n, isContainer) {
			break
		}
		for i, child := range n {
			if err := flattenInto(flat, fmt.Sprintf("%s[%d]", path, i), child); err != nil {
				return err
			}
		}
		return nil
	}
	data, err := json.Marshal(node)
	flat[path] = string(data)
	return err
}

func isContainer(node any) bool {
	switch node.(type) {
	case map[string]any, []any:
		return true
	}
	return false
}

// addRemarks sets the remarks of changes that affect the regions permitted for
// teams' data.
func addRemarks(changes []Change, before, after *objects.Set) {
	for i := range changes {
		c := &changes[i]
		switch {
		case c.Kind == objects.KindResidencyRule && c.Field == "spec.regions":
			c.Remark = compareRegions(before.ResidencyRules[c.Name].Spec.Regions, after.ResidencyRules[c.Name].Spec.Regions)
		case c.Kind == objects.KindTeam && c.Field == "spec.residency":
			c.Remark = "changes the regions that the team's data may be in"
		}
	}
}

func compareRegions(old, next []string) string {
	lost := slices.ContainsFunc(old, func(r string) bool { return !slices.Contains(next, r) })
	gained := slices.ContainsFunc(next, func(r string) bool { return !slices.Contains(old, r) })
	switch {
	case lost && gained:
		return "permits other regions"
	case lost:
		return "permits fewer regions"
	case gained:
		return "permits more regions"
	default:
		return ""
	}
}
