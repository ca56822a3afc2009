package relay

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestEventsAreCutAtEmptyLines(t *testing.T) {
	is := is.New(t)
	is.Equal(wholeEvents([]byte("id: 1\ndata: a\n\nid: 2\nda")), len("id: 1\ndata: a\n\n"))
	is.Equal(wholeEvents([]byte("id: 1\r\ndata: a\r\n\r\nx")), len("id: 1\r\ndata: a\r\n\r\n"))
	is.Equal(wholeEvents([]byte("id: 1\n")), 0)
	is.Equal(countEvents([]byte("a\n\nb\n\nc")), 2)
	id, ok := eventID([]byte("data: x\nid: 17\n\n"))
	is.True(ok)
	is.Equal(id, "17")
}

func TestEventsThatWerePassedOnAreDropped(t *testing.T) {
	is := is.New(t)
	x := &run{lastEvent: "3"}
	fresh := x.unseen([]byte("id: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n: comment\n\n"))
	is.Equal(string(fresh), "id: 4\ndata: d\n\n: comment\n\n")
	is.Equal(x.lastEvent, "4")
	is.Equal(x.events, 1)
}

// FuzzEvents splits a stream at any place: the events that come out are the
// same as those of the stream in one piece.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n\nid: 3\ndata", 7)
	f.Add("\r\n\r\nid:5\n\n", 1)
	f.Fuzz(func(t *testing.T, stream string, at int) {
		whole := (&run{}).unseen([]byte(stream[:wholeEvents([]byte(stream))]))
		x := &run{}
		var out strings.Builder
		var pending []byte
		at = min(max(at, 0), len(stream))
		for _, piece := range []string{stream[:at], stream[at:]} {
			pending = append(pending, piece...)
			n := wholeEvents(pending)
			out.Write(x.unseen(pending[:n]))
			pending = append([]byte{}, pending[n:]...)
		}
		if out.String() != string(whole) {
			t.Fatalf("%q in two pieces, %q in one", out.String(), whole)
		}
	})
}
