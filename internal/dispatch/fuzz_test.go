package dispatch

import (
	"bytes"
	"strings"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/pipeline/pipelinetest"
)

// Whatever an engine sends, numbered events are passed on once, in turn and
// unbroken, and the stream counts as whole only with its final event.
func FuzzCopyEvents(f *testing.F) {
	for _, seed := range []string{
		wholeStream(3),
		"id: 1\ndata: a\n\nid: 1\ndata: a\n\nid: 3\ndata: c\n\n",
		"data: unnumbered\n\ndata: [DONE]\n\n",
		": comment\n\nid: -1\ndata: x\n\nid: 99999999999999999999\n\n",
		"id: 1\r\ndata: a\r\n\r\ndata: [DONE]\r\n\r\n",
		"id: 1\ndata: cut",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		out := &pipelinetest.Recorder{}
		var p progress
		copyEvents(bytes.NewReader(stream), &p, out)
		passed := out.Body.String()
		if passed != "" && !strings.HasSuffix(passed, "\n") {
			t.Errorf("an event was passed on in part: %q", passed)
		}
		if p.done && !strings.Contains(passed, "[DONE]") {
			t.Errorf("the stream counts as whole without its final event: %q", passed)
		}
		if out.Body.Len() > 2*len(stream)+2 {
			t.Errorf("%d bytes became %d", len(stream), out.Body.Len())
		}
	})
}
