package booking

import "sync/atomic"

// quota counts records.
type quota struct {
	count atomic.Int64
	// closed is one above the newest epoch that takes no new keys.
	closed atomic.Uint64
}

func (t *Table) quotaOf(team string) *quota {
	if q, ok := t.teams.Load(team); ok {
		return q.(*quota)
	}
	q, _ := t.teams.LoadOrStore(team, new(quota))
	return q.(*quota)
}

// isClosed reports whether the key's epoch takes no new keys of the team.
func (t *Table) isClosed(key Key, team string) bool {
	return key.Epoch < t.all.closed.Load() || key.Epoch < t.quotaOf(team).closed.Load()
}

// isFull reports whether there is no room for a record of the team. If so, all
// epochs up to now take no new keys, of the team or at all, which closes the
// keys that have no record.
func (t *Table) isFull(team string) bool {
	return t.closeIfFull(&t.all, t.maxRecords) || t.closeIfFull(t.quotaOf(team), t.maxTeamRecords)
}

func (t *Table) closeIfFull(q *quota, limit int64) bool {
	if q.count.Load() < limit {
		return false
	}
	raise(&q.closed, t.issuer.epoch()+1)
	return true
}

// raise sets the value unless it is as high already. It reports whether it did.
func raise(value *atomic.Uint64, to uint64) bool {
	for {
		old := value.Load()
		if old >= to {
			return false
		}
		if value.CompareAndSwap(old, to) {
			return true
		}
	}
}
