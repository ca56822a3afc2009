package booking

import "sync/atomic"

// quota counts the records of one team, or of all teams.
type quota struct {
	count atomic.Int64
	// closedBefore is the oldest epoch open to new keys: lower epochs are
	// closed.
	closedBefore atomic.Uint64
}

func (t *Table) quotaOf(team string) *quota {
	if q, ok := t.teams.Load(team); ok {
		return q.(*quota)
	}
	q, _ := t.teams.LoadOrStore(team, new(quota))
	return q.(*quota)
}

// isClosed reports whether the key's epoch is closed to new keys of the team.
func (t *Table) isClosed(key Key, team string) bool {
	return key.Epoch < t.all.closedBefore.Load() || key.Epoch < t.quotaOf(team).closedBefore.Load()
}

// closeIfNoRoom reports whether the limit of all records or of the team's
// records is reached. If so, it closes the current and all earlier epochs to
// new keys, for everyone or for the team. This closes all keys of these epochs
// that have no record.
func (t *Table) closeIfNoRoom(team string) bool {
	return t.closeIfAtLimit(&t.all, t.maxRecords) || t.closeIfAtLimit(t.quotaOf(team), t.maxTeamRecords)
}

func (t *Table) closeIfAtLimit(q *quota, limit int64) bool {
	if q.count.Load() < limit {
		return false
	}
	storeMax(&q.closedBefore, t.issuer.epoch()+1)
	return true
}

// storeMax stores newValue if it is higher than the stored value, and reports
// whether it did.
func storeMax(value *atomic.Uint64, newValue uint64) bool {
	for {
		old := value.Load()
		if old >= newValue {
			return false
		}
		if value.CompareAndSwap(old, newValue) {
			return true
		}
	}
}
