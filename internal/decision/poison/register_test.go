package poison

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// crash records that endpoints died as they began the answers to different requests with
// the parts.
func crash(r *Register, from, count int, parts ...string) { crashAt(r, Begun, from, count, parts...) }

// crashAt is like crash at another stage of the answers.
func crashAt(r *Register, stage Stage, from, count int, parts ...string) {
	for i := from; i < from+count; i++ {
		r.Record(Evidence{Fingerprint: fmt.Sprint("f", i), Endpoint: fmt.Sprint("e", i), Parts: parts, Stage: stage}, start)
	}
}

func TestPartIsPoisonousAfterDeathsWithoutAnAnswer(t *testing.T) {
	for _, tt := range []struct {
		name   string
		record func(r *Register)
		want   bool
	}{
		{"too few deaths", func(r *Register) { crash(r, 0, PartDeathLimit-1, "p") }, false},
		{"enough deaths", func(r *Register) { crash(r, 0, PartDeathLimit, "p") }, true},
		{"one death, reported often", func(r *Register) {
			for range PartDeathLimit {
				crash(r, 0, 1, "p")
			}
		}, false},
		{"deaths of other parts", func(r *Register) { crash(r, 0, PartDeathLimit, "q") }, false},
		{"an answer between", func(r *Register) {
			crash(r, 0, PartDeathLimit-1, "p")
			r.Record(Evidence{Parts: []string{"p"}}, start)
			crash(r, 10, 1, "p")
		}, false},
		{"requests without an answer", func(r *Register) { crashAt(r, Unanswered, 0, 2*PartDeathLimit-1, "p") }, false},
		{"more requests without an answer", func(r *Register) { crashAt(r, Unanswered, 0, 2*PartDeathLimit, "p") }, true},
		{"answers of one event", func(r *Register) { crashAt(r, FirstEvent, 0, 2*PartDeathLimit, "p") }, true},
		{"answers underway", func(r *Register) { crashAt(r, Underway, 0, 10*PartDeathLimit, "p") }, false},
		{"an answer to another part", func(r *Register) {
			crash(r, 0, PartDeathLimit, "p", "q")
			r.Record(Evidence{Parts: []string{"q"}}, start)
		}, true},
	} {
		r := NewRegister()
		tt.record(r)
		if got := r.Poisonous("f", []string{"a", "p"}, start); got != tt.want {
			t.Errorf("%s: poisonous %v, want %v", tt.name, got, tt.want)
		}
		if r.Poisonous("f", []string{"a"}, start) || r.Poisonous("f", nil, start) {
			t.Errorf("%s: a request without the part is poisonous", tt.name)
		}
	}
}

// Guards against refusing a class of requests that share a part, after several endpoints
// died at once as they began answers to it. Nothing would clear the part again.
func TestPartThatWasAnsweredBeforeIsNotBlamed(t *testing.T) {
	r := NewRegister()
	r.Record(Evidence{Parts: []string{"p"}}, start)
	crash(r, 0, PartDeathLimit, "p")
	if r.Poisonous("f", []string{"p"}, start.Add(time.Second)) {
		t.Error("the part is refused")
	}
	if !r.Poisonous("f", []string{"p"}, start.Add(answeredMemory)) {
		t.Error("a part that was not answered for long is not refused")
	}
}

// Guards against refusing sound requests that begin like those which crash endpoints. All
// of these have the beginning too, and it may not have been answered yet.
func TestDeathsCountAgainstTheLastSharedPartOnly(t *testing.T) {
	r := NewRegister()
	crash(r, 0, PartDeathLimit, "beginning", "p")
	crash(r, PartDeathLimit, 10, "beginning", "p")
	// Other requests on the endpoints that died.
	for range 2 {
		crashAt(r, Begun, 0, PartDeathLimit+10, "beginning", "q")
	}
	if !r.Poisonous("", []string{"beginning", "p"}, start) {
		t.Error("the part is not refused")
	}
	if r.Poisonous("", []string{"beginning", "q"}, start) {
		t.Error("requests with the same beginning are refused")
	}
	crash(r, 100, PartDeathLimit-1, "beginning", "x")
	crash(r, 200, 1, "beginning", "y")
	if !r.Poisonous("", []string{"beginning", "z"}, start) {
		t.Error("a beginning that crashes endpoints with all that follows is not refused")
	}
}

// Guards against breaking off long answers that lost their endpoints twice, as another
// request crashed these.
func TestAnswersUnderwayAreWeakEvidenceAgainstTheirRequest(t *testing.T) {
	r := NewRegister()
	record := func(stage Stage, endpoints ...string) {
		for _, endpoint := range endpoints {
			r.Record(Evidence{Fingerprint: "f", Endpoint: endpoint, Stage: stage}, start)
		}
	}
	record(Underway, "e1", "e2", "e3")
	if r.Poisonous("f", nil, start) {
		t.Error("refused after three endpoints died under long answers")
	}
	record(Unanswered, "e4")
	if !r.Poisonous("f", nil, start) {
		t.Error("not refused although a fourth endpoint died before it answered")
	}
}

func TestRefusedPartsAreBounded(t *testing.T) {
	r := NewRegister()
	for i := range 2 * maxRefusedParts {
		crash(r, i*PartDeathLimit, PartDeathLimit, fmt.Sprint("p", i))
	}
	if len(r.refused) > maxRefusedParts {
		t.Errorf("%d parts are refused, more than maxRefusedParts", len(r.refused))
	}
}

// Guards against a part that turns deadly after it was answered: the answer kept it from
// blame for a minute, however many endpoints died.
func TestAnsweredPartIsRefusedIfEndpointsGoOnDying(t *testing.T) {
	r := NewRegister()
	r.Record(Evidence{Parts: []string{"p"}}, start)
	now := start
	for i := range 2 * PartDeathLimit {
		now = start.Add(time.Duration(i) * burstTime / 2)
		r.Record(Evidence{Endpoint: fmt.Sprint("e", i), Parts: []string{"p"}}, now)
	}
	if !r.Poisonous("", []string{"p"}, now) {
		t.Error("the part is not refused")
	}
}

// Guards against evidence that becomes new each time hosts exchange it.
func TestAgeOfEvidenceIsKept(t *testing.T) {
	const age = 30 * time.Second
	r, late := NewRegister(), start.Add(age)
	old := Dated{Evidence: Evidence{Parts: []string{"p"}}, Got: start}
	r.Record(old.Aged(late), late)
	if !r.answered.lately("p", start.Add(answeredMemory-1)) || r.answered.lately("p", start.Add(answeredMemory)) {
		t.Error("an answer counts from the time at which it was passed on")
	}
	crash(r, 0, PartDeathLimit, "q")
	for _, e := range r.Deaths(late) {
		passedOn := NewRegister()
		passedOn.Record(e, late)
		if until := passedOn.parts.byRequest["q"][e.Endpoint].until; !until.Equal(start.Add(Retention)) {
			t.Errorf("a death is kept until %v after it, want %v", until.Sub(start), Retention)
		}
	}
}

// Guards against a refusal without an end, by a message of another host.
func TestAgeOutOfRangeIsLimited(t *testing.T) {
	for _, age := range []int64{-1, math.MinInt64, math.MaxInt64, Retention.Milliseconds() + 1} {
		e := Evidence{Endpoint: "e", AgeMS: age}
		if at := e.at(start); at.After(start) || at.Before(start.Add(-Retention)) {
			t.Errorf("age %d: %v", age, at.Sub(start))
		}
	}
}

// Guards against an old answer, which a host learns from a list that it exchanges again,
// that clears a part of later deaths.
func TestAnswerClearsEarlierDeathsOnly(t *testing.T) {
	r, late := NewRegister(), start.Add(2*answeredMemory)
	crash(r, 0, PartDeathLimit, "p")
	before := Dated{Evidence: Evidence{Parts: []string{"p"}}, Got: start.Add(-time.Second)}
	if r.Record(before.Aged(late), late); !r.Poisonous("", []string{"p"}, late) {
		t.Error("an answer before the deaths clears the part")
	}
	after := Dated{Evidence: Evidence{Parts: []string{"p"}}, Got: start.Add(time.Second)}
	if r.Record(after.Aged(late), late); r.Poisonous("", []string{"p"}, late) {
		t.Error("an answer after the deaths does not clear the part")
	}
}

func TestAnsweredPartsAreBounded(t *testing.T) {
	a := newAnsweredParts()
	for i := range 5 * maxAnswered {
		a.add(fmt.Sprint(i), start)
	}
	if len(a.current)+len(a.previous) > 2*maxAnswered {
		t.Errorf("%d parts are kept", len(a.current)+len(a.previous))
	}
	if !a.lately(fmt.Sprint(5*maxAnswered-1), start) || a.lately("0", start) {
		t.Error("the newest part is not known, or the oldest is")
	}
}

// A host that keeps a new list learns from the others what has died, before there is a
// verdict too, and nothing that has been cleared.
func TestDeathsRestoreARegister(t *testing.T) {
	r, restored := NewRegister(), NewRegister()
	crash(r, 0, PartDeathLimit, "p")
	crash(r, 10, 1, "q")
	r.Record(Evidence{Fingerprint: "f", Endpoint: "other1"}, start)
	r.Record(Evidence{Fingerprint: "f", Endpoint: "other2"}, start)
	crash(r, 20, PartDeathLimit-1, "answered")
	r.Record(Evidence{Parts: []string{"answered"}}, start)
	for _, e := range r.Deaths(start) {
		restored.Record(e, start)
	}
	crash(restored, 30, 1, "answered")
	if !restored.Poisonous("", []string{"p"}, start) || !restored.Poisonous("f", nil, start) {
		t.Error("a verdict is lost")
	}
	if restored.Poisonous("", []string{"q"}, start) {
		t.Error("a suspected part is poisonous")
	}
	if restored.Poisonous("", []string{"answered"}, start) {
		t.Error("deaths before an answer count")
	}
	if crash(restored, 40, PartDeathLimit-1, "q"); !restored.Poisonous("", []string{"q"}, start) {
		t.Error("the death of a suspected part is lost")
	}
}

func TestSuspectsAreThePartsWithDeaths(t *testing.T) {
	r := NewRegister()
	crash(r, 0, 1, "p", "q")
	if got := r.Suspects([]string{"a", "q"}); !slices.Equal(got, []string{"q"}) {
		t.Errorf("got %q", got)
	}
	r.Record(Evidence{Parts: []string{"p", "q"}}, start)
	if got := r.Suspects([]string{"a", "q"}); got != nil {
		t.Errorf("after an answer: got %q", got)
	}
}
