package bookingfilter

import (
	"github.com/chestnutspring/chestnutspring/internal/booking"
	"github.com/chestnutspring/chestnutspring/internal/filter/settle"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
)

var _ settle.Closer = (*Filter)(nil)

// Close implements settle.Closer. It closes the request's key if nothing has run
// with it here, and this incarnation owns the key or the request came over a
// region hop. It reports whether no request can ever run with the key; for a
// region hop, whether none can run with it at this gateway.
func (f *Filter) Close(req *pipeline.Request) bool {
	key, err := booking.ParseKey(req.Key)
	if err != nil {
		// No owner accepts a malformed key.
		return true
	}
	switch {
	case req.Hop == pipeline.HopRegion:
		return f.hops.Close(key, keyWindow(req)) == booking.HopClosed
	case req.Snapshot.Config.Teams[req.Team] == nil:
		// Requests of unknown teams must not fill the table.
		return false
	case f.Issuer.Issued(key):
		return f.closeOwn(key, req.Team)
	default:
		// A key that names this incarnation but has a wrong MAC can't run
		// anywhere. For any other key, only its owner knows.
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
