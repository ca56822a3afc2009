package objects

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// documentInspector checks a YAML document before it is decoded. It reports all
// unknown and repeated fields and records the position of each field.
type documentInspector struct {
	file      string
	body      ast.Node
	kind      Kind
	name      string
	line      int
	offset    int // lines before the document
	positions map[string]sourcePosition
	faults    []Fault
}

func newDocumentInspector(file string, offset int, body ast.Node) *documentInspector {
	return &documentInspector{file: file, body: body, offset: offset, line: offset + lineOf(body), positions: map[string]sourcePosition{}}
}

// inspect checks the document and reports whether it can be decoded, which
// requires a known kind and a name.
func (d *documentInspector) inspect() bool {
	fields, ok := mappingOf(d.body)
	if !ok {
		d.fault(d.body, "", "the document isn't a mapping", "write kind, name and spec")
		return false
	}
	if alias := findAlias(d.body); alias != nil {
		d.fault(alias, "", "anchors, aliases and merge keys aren't supported", "write the value out")
		return false
	}
	d.kind = Kind(textOf(fields, "kind"))
	d.name = textOf(fields, "name")
	prototype := New(d.kind)
	if prototype == nil {
		d.fault(d.body, "kind", fmt.Sprintf("unknown kind %q", d.kind), didYouMean(string(d.kind), kindNames()))
		return false
	}
	if d.name == "" {
		d.fault(d.body, "name", "the name is missing", "")
		return false
	}
	d.positions[""] = sourcePosition{d.file, d.line}
	d.walk(d.body, reflect.TypeOf(prototype).Elem(), "")
	return true
}

func kindNames() []string {
	var names []string
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return names
}

// walk checks a node against the Go type that it will be decoded into.
func (d *documentInspector) walk(node ast.Node, t reflect.Type, path string) {
	if path != "" {
		d.positions[path] = sourcePosition{d.file, d.offset + lineOf(node)}
	}
	switch {
	case t.Kind() == reflect.Struct:
		d.walkStruct(node, t, path)
	case t.Kind() == reflect.Slice:
		sequence, ok := node.(*ast.SequenceNode)
		if !ok {
			return // The decoder reports the wrong type.
		}
		for i, item := range sequence.Values {
			d.walk(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
	}
}

func (d *documentInspector) walkStruct(node ast.Node, t reflect.Type, path string) {
	entries, ok := mappingOf(node)
	if !ok {
		return
	}
	known := yamlFields(t)
	seen := map[string]bool{}
	for _, entry := range entries {
		key := keyOf(entry)
		field := strings.TrimPrefix(path+"."+key, ".")
		fieldType, ok := known[key]
		switch {
		case path == "" && key == "kind":
		case !ok:
			d.fault(entry, field, "unknown field", didYouMean(key, sortedNames(known)))
			continue
		default:
			d.walk(entry.Value, fieldType, field)
		}
		if seen[key] {
			d.fault(entry, field, "the field is given twice", "remove one")
		}
		seen[key] = true
	}
}

// yamlFields returns the field types of a struct by YAML name.
func yamlFields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" {
			fields[name] = t.Field(i).Type
		}
	}
	return fields
}

func (d *documentInspector) fault(node ast.Node, field, message, suggestion string) {
	d.faults = append(d.faults, Fault{
		File: d.file, Line: d.offset + lineOf(node), Kind: d.kind, Name: d.name,
		Field: field, Message: message, Suggestion: suggestion,
	})
}

func mappingOf(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func keyOf(entry *ast.MappingValueNode) string {
	if s, ok := entry.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return entry.Key.String()
}

func textOf(entries []*ast.MappingValueNode, key string) string {
	for _, entry := range entries {
		if keyOf(entry) != key {
			continue
		}
		if s, ok := entry.Value.(*ast.StringNode); ok {
			return s.Value
		}
	}
	return ""
}

func lineOf(node ast.Node) int {
	if node == nil {
		return 1
	}
	if entry, ok := node.(*ast.MappingValueNode); ok && entry.Key != nil {
		node = entry.Key
	}
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return lineOf(m.Values[0])
	}
	if t := node.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 1
}

// aliasFinder stops at the first anchor, alias or merge key.
type aliasFinder struct{ found ast.Node }

// Visit implements ast.Visitor.
func (f *aliasFinder) Visit(node ast.Node) ast.Visitor {
	if f.found != nil {
		return nil
	}
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		f.found = node
		return nil
	}
	return f
}

func findAlias(node ast.Node) ast.Node {
	finder := &aliasFinder{}
	ast.Walk(finder, node)
	return finder.found
}
