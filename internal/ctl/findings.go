package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/platform"
)

// printFindings prints findings as text, one on each line.
func printFindings(w io.Writer, findings []objects.Fault) {
	for _, f := range findings {
		fmt.Fprintln(w, f)
	}
}

// printJSON prints findings as JSON. The error is errFound if one of them is an error.
func printJSON(w io.Writer, findings []objects.Fault) error {
	list := append([]objects.Fault{}, findings...)
	for i := range list {
		if list[i].Severity == "" {
			list[i].Severity = objects.SeverityError
		}
	}
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(map[string]any{"findings": list}); err != nil {
		return ErrFile.Wrap(err, "output")
	}
	return foundIfError(list)
}

// foundIfError returns errFound if a finding is an error.
func foundIfError(findings []objects.Fault) error {
	if countSeverity(findings, objects.SeverityError) > 0 {
		return errFound
	}
	return nil
}

func countSeverity(findings []objects.Fault, severity objects.Severity) int {
	return len(slices.DeleteFunc(slices.Clone(findings), func(f objects.Fault) bool { return f.Severity != severity }))
}

// CheckPlatformCommand checks a platform configuration.
type CheckPlatformCommand struct {
	File           string   `arg:"" help:"JSON file of the configuration."`
	InForce        string   `help:"JSON file of the configuration in force; adds the differences from it."`
	Regions        []string `help:"Regions that have failure domains. Home regions are compared with them."`
	LargestRequest int64    `help:"Largest number of tokens that a request states. Bursts are compared with it."`
	JSON           bool     `name:"json" help:"Print the findings as JSON."`
}

// Run executes the command.
func (c *CheckPlatformCommand) Run(env *Env) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return ErrInput.Wrap(err, "configuration")
	}
	var inForce []byte
	if c.InForce != "" {
		if inForce, err = os.ReadFile(c.InForce); err != nil {
			return ErrInput.Wrap(err, "configuration in force")
		}
	}
	findings, err := platform.CheckConfig(data, inForce, platform.CheckOptions{Regions: c.Regions, LargestRequest: c.LargestRequest})
	if err != nil {
		return ErrInput.Wrap(err, "file %s", c.File)
	}
	for i := range findings {
		findings[i].File = c.File
	}
	if c.JSON {
		return printJSON(env.Out, findings)
	}
	printFindings(env.Out, findings)
	fmt.Fprintf(env.Out, "%d errors, %d warnings, %d changes\n", countSeverity(findings, objects.SeverityError),
		countSeverity(findings, objects.SeverityWarning), countSeverity(findings, objects.SeverityChange))
	return foundIfError(findings)
}
