package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"strconv"
	"strings"
	"text/template"
)

// The names on the wire and the settings of a VM, as the users' pages have them.
var (
	//go:embed wire.json
	wireData []byte
	//go:embed config.json
	configData []byte
	//go:embed settings.tmpl
	settingsText string
)

// names are the header fields, paths and keys of the platform.
type names struct {
	RequestID, Stamp, Expected, Instance, NotRun, Deadline, LastEvent, Resumes, Tokens, Blocks string
	ReportPath, HealthPath, ReadyPath, ServerPrefix, ConfigKey, BootVariable                   string
	Entry, Report                                                                              json.RawMessage
}

var wire = func() names {
	var n names
	if err := json.Unmarshal(wireData, &n); err != nil {
		panic(err)
	}
	return n
}()

// fill replaces the fields of a template in JSON by their values. A quoted number becomes a
// number.
func fill(text []byte, values any) []byte {
	var out bytes.Buffer
	if err := template.Must(template.New("").Parse(string(text))).Execute(&out, values); err != nil {
		panic(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(out.Bytes(), &fields); err != nil {
		panic(err)
	}
	for name, value := range fields {
		var number json.Number
		if s, ok := value.(string); ok && json.Unmarshal([]byte(s), &number) == nil {
			fields[name] = number
		}
	}
	data, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return data
}

// settings returns the settings file of a VM.
func settings(v *vm, registry string, seeds []string) string {
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = strconv.Quote(seed)
	}
	values := struct {
		*vm
		Registry, Seeds string
	}{v, registry, strings.Join(quoted, ", ")}
	var out strings.Builder
	if err := template.Must(template.New("").Parse(settingsText)).Execute(&out, values); err != nil {
		panic(err)
	}
	return out.String()
}
