package dispatch

import (
	"bytes"
	"strings"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/pipeline/pipelinetest"
)

// For any bytes from an engine, copyEvents relays only complete events, each
// numbered event once and in order, and sets done only with the final event.
func FuzzCopyEvents(f *testing.F) {
	for _, seed := range []string{
		completeStream(3),
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
		var state relayState
		copyEvents(bytes.NewReader(stream), &state, out)
		relayed := out.Body.String()
		if relayed != "" && !strings.HasSuffix(relayed, "\n") {
			t.Errorf("an incomplete event was relayed: %q", relayed)
		}
		if state.done && !strings.Contains(relayed, "[DONE]") {
			t.Errorf("the stream counts as complete without its final event: %q", relayed)
		}
		if out.Body.Len() > 2*len(stream)+2 {
			t.Errorf("a stream of %d bytes became %d bytes", len(stream), out.Body.Len())
		}
	})
}
