package engine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var now = time.Unix(1000, 0)

func at(offset time.Duration) time.Time { return now.Add(offset) }

func TestPrefillWait(t *testing.T) {
	for _, tt := range []struct {
		name string
		jobs []Job
		want time.Duration
	}{
		{name: "idle"},
		{"one prompt half prefilled", []Job{{Prefill: 100 * ms, ExpectedFirstToken: at(50 * ms)}}, 50 * ms},
		{"two prompts", []Job{{Prefill: 100 * ms, ExpectedFirstToken: at(50 * ms)}, {Prefill: 40 * ms, ExpectedFirstToken: at(90 * ms)}}, 90 * ms},
		{"prefilled, first token not reported yet", []Job{{Prefill: 10 * ms, ExpectedFirstToken: at(-30 * ms)}}, 0},
		{"overdue", []Job{{Prefill: 100 * ms, ExpectedFirstToken: at(-200 * ms)}}, 100 * ms},
		{"begun", []Job{{Prefill: 100 * ms, ExpectedFirstToken: at(50 * ms), FirstTokenAt: at(-10 * ms)}}, 0},
		{"early first token, so the next prefill starts earlier too",
			[]Job{{Prefill: 100 * ms, ExpectedFirstToken: at(60 * ms), FirstTokenAt: now}, {Prefill: 40 * ms, ExpectedFirstToken: at(100 * ms)}}, 40 * ms},
	} {
		if got := Predict(tt.jobs, 8, now); got.PrefillWait != tt.want || got.SlotWait != 0 {
			t.Errorf("%s: got %+v, want a prefill wait of %v and no slot wait", tt.name, got, tt.want)
		}
	}
}

func TestSlotWait(t *testing.T) {
	running := Job{Decode: 400 * ms, FirstTokenAt: at(-300 * ms)} // 100 ms by the estimate, 120 ms by overdueRemainingFactor
	jobs := []Job{running, running, running, running}
	if got := Predict(jobs, 5, now).SlotWait; got != 0 {
		t.Errorf("got a slot wait of %v with a free slot", got)
	}
	if got := Predict(jobs, 4, now).SlotWait; got < 25*ms || got > 35*ms {
		t.Errorf("got %v until the first of four jobs completes, want about 30 ms", got)
	}
	if one, two := Predict(jobs, 4, now).SlotWait, Predict(jobs, 3, now).SlotWait; two < 2*one {
		t.Errorf("slot waits of %v and %v: two completions must take at least twice as long as one", one, two)
	}
	overdue := Job{Decode: 100 * ms, FirstTokenAt: at(-time.Second)}
	if got := Predict([]Job{overdue}, 1, now).SlotWait; got < 250*ms {
		t.Errorf("got %v for a response that is long overdue, want at least 250 ms", got)
	}
}

// TestForecastIsMonotonic checks that an additional job never shortens the
// forecast, and that the prefill wait never grows with time while no job is
// overdue.
func TestForecastIsMonotonic(t *testing.T) {
	duration := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * ms
	})
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		var jobs []Job
		for range rapid.IntRange(0, 20).Draw(t, "jobs") {
			job := Job{Prefill: duration.Draw(t, "read"), Decode: duration.Draw(t, "generate")}
			job.ExpectedFirstToken = at(duration.Draw(t, "first"))
			jobs = append(jobs, job)
		}
		before := Predict(jobs, slots, now)
		more := Predict(append(jobs, Job{Prefill: ms, Decode: time.Hour, ExpectedFirstToken: at(ms)}), slots, now)
		if more.Wait() < before.Wait() {
			t.Fatalf("forecast %+v, shorter with one more job: %+v", before, more)
		}
		if later := Predict(jobs, slots, at(ms)); later.PrefillWait > before.PrefillWait {
			t.Fatalf("forecast %+v, longer a millisecond later: %+v", before, later)
		}
	})
}
