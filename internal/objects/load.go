package objects

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileBytes is the maximum size of a configuration file.
const maxFileBytes = 16 << 20

// sourcePosition is the position of an object or field in a file.
type sourcePosition struct {
	file string
	line int
}

// sources holds information on the files that objects were read from.
type sources struct {
	// positions are the positions of each object's fields, by field path. The
	// object itself has the path "".
	positions map[objectID]map[string]sourcePosition
	// undecodable are the objects that could not be decoded. They can be
	// referred to, but are not checked further.
	undecodable map[objectID]bool
}

type objectID struct {
	kind Kind
	name string
}

// loader collects objects and faults from files.
type loader struct {
	set    *Set
	faults []Fault
}

// Load reads all .yaml and .yml files below dir and validates the whole set.
// Each document has the fields kind, name and spec. The error is ErrRead or a
// *FaultError that lists all faults.
func Load(dir string) (*Set, error) {
	files, err := yamlFiles(dir)
	if err != nil {
		return nil, err
	}
	l := newLoader()
	for _, file := range files {
		data, err := readFile(filepath.Join(dir, file))
		if err != nil {
			return nil, err
		}
		l.parse(file, data)
	}
	return l.finish()
}

// Parse reads the documents of one file and validates them as a whole set. The
// file name is used in faults only. The error is a *FaultError.
func Parse(file string, data []byte) (*Set, error) {
	l := newLoader()
	l.parse(file, data)
	return l.finish()
}

func newLoader() *loader {
	l := &loader{set: NewSet()}
	l.set.sources = &sources{positions: map[objectID]map[string]sourcePosition{}, undecodable: map[objectID]bool{}}
	return l
}

func (l *loader) finish() (*Set, error) {
	l.set.Index()
	faults := append(l.faults, l.set.Check()...)
	if len(faults) > 0 {
		sortFaults(faults)
		return nil, &FaultError{Faults: faults}
	}
	l.set.sources = nil
	return l.set, nil
}

func yamlFiles(dir string) ([]string, error) {
	var files []string
	walk := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		if ext := filepath.Ext(path); ext == ".yaml" || ext == ".yml" {
			files = append(files, path)
		}
		return nil
	}
	if err := fs.WalkDir(os.DirFS(dir), ".", walk); err != nil {
		return nil, ErrRead.Wrap(err, "directory %s", dir)
	}
	if len(files) == 0 {
		return nil, ErrRead.New("directory %s has no .yaml files", dir)
	}
	return files, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, ErrRead.Wrap(err, "file %s", path)
	}
	if info.Size() > maxFileBytes {
		return nil, ErrRead.New("file %s is larger than %d bytes", path, maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrRead.Wrap(err, "file %s", path)
	}
	return data, nil
}

// parse reads the documents of one file. It continues after a faulty document,
// so that the faults of all documents are reported.
func (l *loader) parse(file string, data []byte) {
	for _, text := range splitDocuments(data) {
		parsed, err := parseYAML(text.data)
		if err != nil {
			l.faults = append(l.faults, yamlFault(file, text.offset, err))
			continue
		}
		for _, doc := range parsed.Docs {
			if doc.Body == nil || doc.Body.Type() == ast.CommentType || doc.Body.Type() == ast.NullType {
				continue
			}
			l.loadDocument(file, text.offset, doc.Body)
		}
	}
}

// documentText is the text of one document and the number of lines before it.
type documentText struct {
	data   []byte
	offset int
}

// splitDocuments splits a file at its "---" lines, which cannot occur within a
// document. Documents are parsed one by one because the parser's run time grows
// faster than the size of its input, and because it stops at the first fault.
func splitDocuments(data []byte) []documentText {
	var texts []documentText
	start, offset, line := 0, 0, 0
	position := 0
	for text := range bytes.Lines(data) {
		if position > start && isSeparator(text) {
			texts = append(texts, documentText{data[start:position], offset})
			start, offset = position, line
		}
		position += len(text)
		line++
	}
	return append(texts, documentText{data[start:], offset})
}

func isSeparator(line []byte) bool {
	rest, ok := bytes.CutPrefix(line, []byte("---"))
	return ok && (len(rest) == 0 || bytes.ContainsRune([]byte(" \t\r\n"), rune(rest[0])))
}

// parseYAML parses data. It converts a panic of the parser into an error, so
// that a malformed file can't crash the process.
func parseYAML(data []byte) (file *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the YAML parser failed: %v", r)
		}
	}()
	return parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
}

func (l *loader) loadDocument(file string, offset int, body ast.Node) {
	d := newDocumentInspector(file, offset, body)
	if !d.inspect() {
		l.faults = append(l.faults, d.faults...)
		return
	}
	id := objectID{d.kind, d.name}
	value := New(d.kind)
	if err := decodeNode(body, value); err != nil {
		fault := yamlFault(file, offset, err)
		fault.Kind, fault.Name = d.kind, d.name
		d.faults = append(d.faults, fault)
		l.set.sources.undecodable[id] = true
	}
	l.faults = append(l.faults, d.faults...)
	setName(value, d.name)
	if !l.set.Add(value) {
		first := l.set.sources.positions[id][""]
		l.faults = append(l.faults, Fault{
			File: file, Line: d.line, Kind: d.kind, Name: d.name,
			Message:    "the name is used twice",
			Suggestion: fmt.Sprintf("the first is at %s:%d; rename or remove one", first.file, first.line),
		})
		return
	}
	l.set.sources.positions[id] = d.positions
}

// decodeNode decodes body into value. It converts a panic of the decoder into an
// error.
func decodeNode(body ast.Node, value any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the document can't be decoded: %v", r)
		}
	}()
	return yaml.NodeToValue(body, value, yaml.AllowDuplicateMapKey())
}

// setName sets the name of an object, which is also needed if the rest of the
// document can't be decoded.
func setName(value any, name string) {
	reflect.ValueOf(value).Elem().FieldByName("Name").SetString(name)
}

func yamlFault(file string, offset int, err error) Fault {
	fault := Fault{File: file, Line: offset + 1, Message: strings.TrimSpace(err.Error())}
	var detail yaml.Error
	if errors.As(err, &detail) {
		fault.Message = detail.GetMessage()
		if t := detail.GetToken(); t != nil && t.Position != nil {
			fault.Line = offset + t.Position.Line
		}
	}
	return fault
}
