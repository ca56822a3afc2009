package relay

import (
	"encoding/base64"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/balance"
)

// No head of a hop ends the process, and one that is accepted can be forwarded.
func FuzzHopHead(f *testing.F) {
	f.Add([]byte(`{"id":"q","host":"h","method":"POST","target":"/a/","path":"/a/","header":{"A":["b"]},"remainingMs":5000,"entry":"vm-1","service":"writer","attempts":2}`))
	f.Add([]byte(`{"id":"\u00ff","method":"GET","target":"/\u0100","entry":"vm-1","bytesAsRunes":true,"origin":{"Service":"s"}}`))
	f.Add([]byte(`{"id":"q","method":"GET","target":"/","entry":"vm-1","remainingMs":-9223372036854775808,"attempts":-1,"header":null}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, head []byte) {
		x := hopTransaction(2)
		hr := httptest.NewRequest(http.MethodPost, PathHop, nil)
		hr.Header.Set(headerHop, base64.StdEncoding.EncodeToString(head))
		req, err := x.readHop(httptest.NewRecorder(), hr, nil)
		if err != nil {
			return
		}
		x.req = req
		hr.Header = x.hopCall("127.0.0.1:1", "", balance.Plan{}, 1).Header
		again, err := x.readHop(httptest.NewRecorder(), hr, nil)
		if err != nil || again.Target != req.Target || again.ID != req.ID {
			t.Errorf("forwarded as %+v (%v) instead of %+v", again, err, req)
		}
	})
}

// No refusal of another VM ends the process or gives attempts back.
func FuzzHopRefusal(f *testing.F) {
	f.Add(`{"Verdict":1,"Code":"overloaded","Status":503,"RetryAfter":1000000000}`, "1")
	f.Add(`{"Verdict":-1,"RetryAfter":-9223372036854775808}`, "-5")
	f.Add(`[`, "")
	// The statuses and numbers that upstream's table of invalid responses has.
	for _, number := range []string{"000", "099", "20", "600", "999", "2000", "0200", "+20"} {
		f.Add(`{"Verdict":0,"Code":"backend-failed","Status":`+number+`}`, number)
	}
	f.Fuzz(func(t *testing.T, refusal, ran string) {
		x := hopTransaction(3)
		before := x.attemptsLeft()
		x.handleHopRefusal(balance.Plan{Load: &balance.Load{}}, refusal, statedRuns(http.Header{headerRan: {ran}}), 2, true)
		if x.attemptsLeft() > before {
			t.Errorf("%d attempts left, %d before", x.attemptsLeft(), before)
		}
	})
}
