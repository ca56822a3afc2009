package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestEventsEndAtEmptyLines(t *testing.T) {
	is := is.New(t)
	is.Equal(completeEventsLen([]byte("id: 1\ndata: a\n\nid: 2\nda")), len("id: 1\ndata: a\n\n"))
	is.Equal(completeEventsLen([]byte("id: 1\r\ndata: a\r\n\r\nx")), len("id: 1\r\ndata: a\r\n\r\n"))
	is.Equal(completeEventsLen([]byte("id: 1\n")), 0)
	is.Equal(countEvents([]byte("a\n\nb\n\nc")), 2)
	id, ok := eventID([]byte("data: x\nid: 17\n\n"))
	is.True(ok)
	is.Equal(id, "17")
}

func TestRelayedEventsAreSkipped(t *testing.T) {
	is := is.New(t)
	x := &transaction{lastEventID: "3"}
	unsent, fault := x.selectEvents(&streamSource{}, []byte("id: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n: comment\n\n"))
	is.Equal(fault, "")
	is.Equal(string(unsent), "id: 4\ndata: d\n\n: comment\n\n")
	is.Equal(x.lastEventID, "4")
	is.Equal(x.events, 1)
}

// FuzzEvents splits a stream at an arbitrary position and checks that the same
// events are relayed as for the unsplit stream.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n\nid: 3\ndata", 7)
	f.Add("\r\n\r\nid:5\n\n", 1)
	f.Fuzz(func(t *testing.T, stream string, at int) {
		unsplit, wantFault := (&transaction{}).selectEvents(&streamSource{}, []byte(stream[:completeEventsLen([]byte(stream))]))
		x, s, fault := &transaction{}, &streamSource{}, ""
		var out strings.Builder
		var pending []byte
		at = min(max(at, 0), len(stream))
		for _, piece := range []string{stream[:at], stream[at:]} {
			pending = append(pending, piece...)
			n := completeEventsLen(pending)
			if fault != "" {
				break
			}
			var unsent []byte
			unsent, fault = x.selectEvents(s, pending[:n])
			out.Write(unsent)
			pending = append([]byte{}, pending[n:]...)
		}
		if out.String() != string(unsplit) || fault != wantFault {
			t.Fatalf("split stream: relayed %q (%s), want %q (%s)", out.String(), fault, unsplit, wantFault)
		}
	})
}
