package peer

import (
	"bytes"
	"encoding/base64"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/membudget"
)

// controlBytes is the least budget of the control port.
const controlBytes = 4 << 20

// largestGossip is the frame of a notification of the largest size.
func largestGossip() []byte {
	text := strings.Repeat("A", (MaxFrameBytes-len(gossipStart)-len(gossipEnd))/4*4)
	return frame(gossipStart + text + gossipEnd)
}

// Guards against clients that hold large messages short of their end: the memory goes to a VM
// whose message arrives, and nothing stays held.
func TestStalledMessagesGiveWayToALargeOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		budget := membudget.New(controlBytes)
		var closed []chan error
		for range 4 {
			near, far := net.Pipe()
			s := newStream(near, func([]byte) error { return nil })
			s.memory = budget
			ended := make(chan error, 1)
			closed = append(closed, ended)
			go func() { ended <- s.ReadObject(nil) }()
			go func() { _, _ = far.Write(largestGossip()[:1_000_000]) }()
		}
		time.Sleep(time.Second)
		is.True(budget.Held() > controlBytes/2)
		received := 0
		near, far := net.Pipe()
		s := newStream(near, func(b []byte) error { received = len(b); return nil })
		s.memory = budget
		go func() { _, _ = far.Write(append(largestGossip(), largestGossip()...)); _ = far.Close() }()
		_ = s.ReadObject(nil) // until the other side closes
		is.Equal(received, base64.StdEncoding.DecodedLen((MaxFrameBytes-len(gossipStart)-len(gossipEnd))/4*4))
		for budget.Held() > 0 {
			other := budget.Account()
			_ = other.TakeOrEvict(controlBytes) // evicts those for which there was room
			other.Close()
			time.Sleep(time.Second)
		}
		for _, ended := range closed {
			is.True(<-ended != nil)
		}
	})
}

func TestSmallMessagesNeedNoBudget(t *testing.T) {
	is := is.New(t)
	budget := membudget.New(1)
	s := newStream(&recordedConn{Reader: bytes.NewReader(libraryFrame(t, gossipOf(t, 20)))}, func([]byte) error { return nil })
	s.memory = budget
	_ = s.ReadObject(nil)
	is.True(len(s.body) > 0)
	is.Equal(budget.Held(), int64(0))
}
