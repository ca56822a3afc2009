package objects

import (
	"fmt"
	"sort"
	"strings"

	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("objects")
	// ErrRead is returned when a file or directory can't be read.
	ErrRead = Errors.NewType("read")
)

// Severity is the severity of a finding.
type Severity string

// The severities of findings.
const (
	// SeverityError means that the configuration must not be published.
	SeverityError Severity = "error"
	// SeverityWarning means that an entry has no effect or probably not the intended one.
	SeverityWarning Severity = "warning"
	// SeverityChange is a difference from the configuration in force.
	SeverityChange Severity = "change"
)

// Fault is a finding in a set of objects or in a configuration.
type Fault struct {
	// Severity is empty for SeverityError in sets of objects.
	Severity Severity `json:"severity,omitempty"`
	// File and Line are the position of the object or field. They are empty if
	// the set wasn't read from files.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	Kind Kind   `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Field is the path of the field within the document, such as
	// "spec.links[0].to".
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	// Suggestion describes how to fix the fault.
	Suggestion string `json:"suggestion,omitempty"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" && f.Line > 0 {
		fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	}
	if f.File != "" && f.Line == 0 {
		fmt.Fprintf(&b, "%s: ", f.File)
	}
	if f.Kind != "" {
		fmt.Fprintf(&b, "%s %s: ", f.Kind, f.Name)
	}
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	if f.Severity != "" && f.Severity != SeverityError {
		fmt.Fprintf(&b, "%s: ", f.Severity)
	}
	b.WriteString(f.Message)
	if f.Suggestion != "" {
		fmt.Fprintf(&b, " (%s)", f.Suggestion)
	}
	return b.String()
}

// FaultError is an error that lists the faults of a set.
type FaultError struct {
	Faults []Fault
}

var _ error = (*FaultError)(nil)

// Error returns the number of faults, followed by one line per fault.
func (e *FaultError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%d faults", len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// sortFaults sorts faults by file, line, kind, name and field.
func sortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool {
		a, b := faults[i], faults[j]
		switch {
		case a.File != b.File:
			return a.File < b.File
		case a.Line != b.Line:
			return a.Line < b.Line
		case a.Kind != b.Kind:
			return a.Kind < b.Kind
		case a.Name != b.Name:
			return a.Name < b.Name
		default:
			return a.Field < b.Field
		}
	})
}

// nearestName returns the candidate with the smallest edit distance to name, or
// "" if each candidate differs in more than half of name's length.
func nearestName(name string, candidates []string) string {
	best, bestDistance := "", len(name)/2+1
	for _, c := range candidates {
		if d := editDistance(name, c); d < bestDistance || d == bestDistance && best != "" && c < best {
			best, bestDistance = c, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		previous := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			previous, row[j] = row[j], min(row[j]+1, row[j-1]+1, previous+cost)
		}
	}
	return row[len(b)]
}

// NearestName returns the candidate nearest to name, or "" if each differs in more than half
// of name's length.
func NearestName(name string, candidates []string) string { return nearestName(name, candidates) }

// didYouMean returns the suggestion for an unknown name: the nearest candidate
// or, if none is near, the first few candidates.
func didYouMean(name string, candidates []string) string {
	if near := nearestName(name, candidates); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	if len(candidates) == 0 {
		return ""
	}
	sorted := append([]string(nil), candidates...)
	sort.Strings(sorted)
	const shown = 8
	if len(sorted) > shown {
		sorted = append(sorted[:shown], "...")
	}
	return "known: " + strings.Join(sorted, ", ")
}
