package gossip

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// lane is a connection between two stores.
type lane struct {
	session *Session
	decoder *Decoder
	to      int
}

func connect(from *Store, to int) *lane {
	return &lane{session: NewSession(from, nil), decoder: &Decoder{}, to: to}
}

// send passes the changes on, over the encoding of the wire.
func (l *lane) send(t *rapid.T, stores []*Store, lanes [][]*lane, self int) {
	for more := true; more; {
		var delta Delta
		delta, more = l.session.Next()
		data, err := Encode(delta)
		if err != nil {
			t.Fatal(err)
		}
		var got Delta
		if err := Decode(data, &got); err != nil {
			t.Fatal(err)
		}
		records, err := l.decoder.Decode(got)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			lanes[l.to][self].session.MarkReceived(r)
			stores[l.to].Merge(r)
		}
	}
}

// Stores that exchange changes in any order, over connections that break, agree
// in the end, and no store ever goes back to a lower version.
func TestStoresAgreeAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		stores := make([]*Store, n)
		lanes := make([][]*lane, n)
		for i := range n {
			stores[i] = NewStore()
		}
		for i := range n {
			lanes[i] = make([]*lane, n)
			for j := range n {
				lanes[i][j] = connect(stores[i], j)
			}
		}
		highest := make([]map[Key]uint64, n)
		for i := range n {
			highest[i] = map[Key]uint64{}
		}
		check := func() {
			for i, s := range stores {
				for key, e := range s.entries {
					if e.Version < highest[i][key] {
						t.Fatalf("store %d went back to version %d of %v", i, e.Version, key)
					}
					highest[i][key] = e.Version
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "i")
			j := (i + rapid.IntRange(1, n-1).Draw(t, "offset")) % n
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				name := fmt.Sprint("name", rapid.IntRange(0, 3).Draw(t, "name"))
				stores[i].Write(Key{Kind: KindLoad, Name: name}, []byte{rapid.Byte().Draw(t, "value")})
			case 2:
				lanes[i][j].send(t, stores, lanes, i)
			case 3:
				lanes[i][j] = connect(stores[i], j) // a new connection
			}
			check()
		}
		for range n {
			for i := range n {
				for j := range n {
					if i != j {
						lanes[i][j].send(t, stores, lanes, i)
					}
				}
			}
		}
		check()
		for i := 1; i < n; i++ {
			if fmt.Sprint(contents(stores[0])) != fmt.Sprint(contents(stores[i])) {
				t.Fatalf("store %d differs: %v, %v", i, contents(stores[0]), contents(stores[i]))
			}
		}
	})
}

func contents(s *Store) map[Key]string {
	all := map[Key]string{}
	for key, e := range s.entries {
		all[key] = fmt.Sprint(e.Version, e.Value)
	}
	return all
}

func TestStoreIsBounded(t *testing.T) {
	s := NewStore()
	value := make([]byte, MaxValueBytes)
	for i := range 2 * MaxRecords {
		s.Merge(Record{Key: Key{Kind: KindState, Name: fmt.Sprint(i)}, Version: 1, Value: value})
	}
	if s.bytes > MaxStoreBytes || s.Len() == 0 {
		t.Fatalf("%d records with %d bytes", s.Len(), s.bytes)
	}
	s.Each(KindState, func(r Record) { s.Delete(r.Key) })
	if s.bytes != 0 {
		t.Fatalf("%d bytes left", s.bytes)
	}
}
