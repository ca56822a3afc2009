package experiment

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/standin"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

func served(team, region string, total time.Duration) *Outcome {
	return &Outcome{
		Call:   &Call{Team: team, Home: "jeju", Class: "c", Timeout: time.Second},
		Status: 200, Verdict: verdict.Ran, Region: region, Total: total,
	}
}

func TestStatsCountLateCrossRegionAndRefused(t *testing.T) {
	is := is.New(t)
	refused := served("terns", "", 3*time.Millisecond)
	refused.Status, refused.Verdict, refused.Err, refused.Code = 503, verdict.NotRun, "overloaded", "overloaded"
	unanswered := served("terns", "", time.Second)
	unanswered.Status = 0
	f := summarize(testSet(), []*Outcome{
		served("gulls", "jeju", 100*time.Millisecond),
		served("gulls", "busan", 200*time.Millisecond),
		served("gulls", "jeju", 2*time.Second),
		served("terns", "jeju", 100*time.Millisecond),
		refused, unanswered,
	})
	is.Equal([]int{f.Sent, f.Served, f.Refused, f.Late, f.Unanswered, f.Missed}, []int{6, 4, 1, 1, 1, 2})
	is.Equal(f.CrossRegionShare, 0.25)
	is.Equal(f.Codes["overloaded"], 1)
	is.True(math.Abs(f.Completion.Max-2000) < 5)
	// Weights of 3 and 1 split the 4 served requests into 3 and 1.
	is.Equal(f.Teams["terns"].FairShare, 1.0)
	is.Equal(f.Fairness, 1.0)
}

func TestOnTimeTokensExcludeLateResponses(t *testing.T) {
	is := is.New(t)
	onTime, late := served("gulls", "jeju", 100*time.Millisecond), served("gulls", "jeju", 2*time.Second)
	onTime.Call.Tokens, late.Call.Tokens = 10, 100
	is.Equal(onTimeTokens([]*Outcome{onTime, late}), 10)
}

func TestMaxMinSharesAreBoundedByDemand(t *testing.T) {
	is := is.New(t)
	weight := map[string]float64{"a": 1, "b": 1, "c": 2}
	given := maxMinShares(10, map[string]float64{"a": 1, "b": 100, "c": 100}, weight)
	is.Equal(given["a"], 1.0)
	is.True(math.Abs(given["b"]-3) < 1e-9)
	is.True(math.Abs(given["c"]-6) < 1e-9)
}

func TestAuditFindsEachViolation(t *testing.T) {
	is := is.New(t)
	notRun := served("gulls", "", 0)
	notRun.Status, notRun.Verdict, notRun.Err, notRun.IdempotencyKey = 503, verdict.NotRun, "x", "k1"
	chat := served("gulls", "", 0)
	chat.Status, chat.Verdict, chat.Err, chat.RequestID = 503, verdict.NotRun, "x", "r1"
	lost := served("gulls", "jeju", 0)
	lost.IdempotencyKey = "k9"
	wrong := served("gulls", "jeju", 0)
	wrong.Wrong = "short"
	loop := served("gulls", "jeju", 0)
	loop.Loop = true
	records := ServerRecords{
		ReceivedRequests:  map[string][]standin.RequestRecord{"busan": {{Team: "terns"}, {Team: "gulls"}}},
		EngineExecutions:  map[string]int{"r1": 1},
		ServiceExecutions: map[string]int{"k1": 1, "k2": 2},
	}
	count := map[string]int{}
	for _, v := range Audit(testSet(), []*Outcome{notRun, chat, lost, wrong, loop}, records) {
		count[v.Guarantee]++
	}
	is.Equal(count, map[string]int{
		GuaranteeResidency: 1, GuaranteeAtMostOnce: 1, GuaranteeNotRun: 2,
		GuaranteeOwnAnswer: 2, GuaranteeNoLoop: 1,
	})
	is.Equal(len(Audit(testSet(), []*Outcome{served("gulls", "jeju", 0)}, ServerRecords{})), 0)
}

func TestHasLoopFindsRepeatedVM(t *testing.T) {
	is := is.New(t)
	is.True(hasLoop("a,b,a"))
	is.True(!hasLoop("a,b"))
	is.True(!hasLoop(""))
}
