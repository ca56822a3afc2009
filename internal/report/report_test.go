package report

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/experiment"
)

func TestPageContainsStatsPlotsAndViolations(t *testing.T) {
	is := is.New(t)
	r := &experiment.Result{
		Spec: &experiment.Spec{Name: "a <scenario>"},
		Runs: []experiment.Run{{
			Policy:     experiment.Variant{Name: "least-load"},
			Overall:    experiment.Stats{Name: "overall", Sent: 1234},
			Timeline:   []experiment.SecondStats{{At: 0, P99: map[string]float64{"jeju": 5}}, {At: 1, P99: map[string]float64{"jeju": 7}}},
			Violations: []experiment.Violation{{Guarantee: "not-run", Detail: "key k ran"}},
		}},
	}
	var b strings.Builder
	is.NoErr(Write(&b, r))
	page := b.String()
	for _, want := range []string{"a &lt;scenario&gt;", "least-load", "1234", "1 broken", "key k ran"} {
		is.True(strings.Contains(page, want)) // the page contains the text
	}
	is.Equal(strings.Count(page, "<svg"), 7)
	start := strings.Index(page, "<svg")
	end := strings.Index(page, "</svg>")
	d := xml.NewDecoder(strings.NewReader(page[start : end+len("</svg>")]))
	for {
		if _, err := d.Token(); err != nil {
			is.True(errors.Is(err, io.EOF)) // each plot is well-formed
			return
		}
	}
}
