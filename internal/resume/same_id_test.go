package resume

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the cause of issue 54 (ORDER): a caller sent a stream that had broken off again
// under its ID, and it began anew at another software version and another VM. A third VM knew
// the first start only, and would have gone on with the second one at the wrong version.
func TestStreamThatBeganTwiceDoesNotGoOnAtTheVersionOfTheFirstStart(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	a, b, c := f.start("a", true, "1", "2"), f.start("b", true, "1", "2"), f.start("c", true, "1", "2")
	begin := func(m *member, version string) {
		m.Begin("x", Origin{"writer", version})
		m.BrokeOff("x")
		m.Tick(f.now)
		f.deliver()
		f.now = f.now.Add(time.Second)
	}
	begin(a, "1")
	begin(b, "2")
	for _, m := range []*member{a, b, c} {
		origin, ok := m.Find(t.Context(), "x", "writer")
		is.True(!ok || origin.SoftwareVersion == "2") // m.name
	}
}
