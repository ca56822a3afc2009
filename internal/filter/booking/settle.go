package bookingfilter

import (
	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/filter/settle"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
)

var _ settle.Closer = (*Filter)(nil)

// Close implements settle.Closer. It closes the request's key if this
// incarnation owns it, or if the request came over a region hop, and nothing
// ran with it here. It reports whether nothing can ever run with the key, or,
// after a region hop, whether nothing can run with it here.
func (f *Filter) Close(req *pipeline.Request) bool {
	key, err := booking.ParseKey(req.Key)
	if err != nil {
		// No owner takes a malformed key.
		return true
	}
	switch {
	case req.Hop == pipeline.HopRegion:
		return f.hops.Close(key, keyWindow(req)) == booking.HopClosed
	case req.Snapshot.Config.Teams[req.Team] == nil:
		// Strangers must not fill the table.
		return false
	case f.Issuer.Issued(key):
		return f.closeOwn(key, req.Team)
	default:
		// Only this incarnation takes keys that name it, and it takes none
		// with a wrong code.
		return f.Issuer.Owns(key)
	}
}

// closeOwn reports whether the key is closed and never ran.
func (f *Filter) closeOwn(key booking.Key, team string) bool {
	record, decision := f.table.Close(key, team)
	switch decision {
	case booking.Full:
		return true
	case booking.Wait:
		return record.NeverRan()
	default:
		return false
	}
}
