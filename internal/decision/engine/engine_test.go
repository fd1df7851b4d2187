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
		{"one prompt half read", []Job{{Prefill: 100 * ms, ExpectedFirstToken: at(50 * ms)}}, 50 * ms},
		{"two prompts", []Job{{Prefill: 100 * ms, ExpectedFirstToken: at(50 * ms)}, {Prefill: 40 * ms, ExpectedFirstToken: at(90 * ms)}}, 90 * ms},
		{"read, but not told yet", []Job{{Prefill: 10 * ms, ExpectedFirstToken: at(-30 * ms)}}, 0},
		{"overdue", []Job{{Prefill: 100 * ms, ExpectedFirstToken: at(-200 * ms)}}, 100 * ms},
		{"begun", []Job{{Prefill: 100 * ms, ExpectedFirstToken: at(50 * ms), FirstTokenAt: at(-10 * ms)}}, 0},
		{"begun early, so that the next is earlier too",
			[]Job{{Prefill: 100 * ms, ExpectedFirstToken: at(60 * ms), FirstTokenAt: now}, {Prefill: 40 * ms, ExpectedFirstToken: at(100 * ms)}}, 40 * ms},
	} {
		if got := Predict(tt.jobs, 8, now); got.PrefillWait != tt.want || got.SlotWait != 0 {
			t.Errorf("%s: %+v, want a backlog of %v", tt.name, got, tt.want)
		}
	}
}

func TestSlotWait(t *testing.T) {
	running := Job{Decode: 400 * ms, FirstTokenAt: at(-300 * ms)} // 100 ms left, or 120 as answers go
	jobs := []Job{running, running, running, running}
	if got := Predict(jobs, 5, now).SlotWait; got != 0 {
		t.Errorf("%v with a free slot", got)
	}
	if got := Predict(jobs, 4, now).SlotWait; got < 25*ms || got > 35*ms {
		t.Errorf("%v for the first of four to end, want about 30 ms", got)
	}
	if one, two := Predict(jobs, 4, now).SlotWait, Predict(jobs, 3, now).SlotWait; two < 2*one {
		t.Errorf("%v and %v: the second end takes at least as long as the first", one, two)
	}
	overdue := Job{Decode: 100 * ms, FirstTokenAt: at(-time.Second)}
	if got := Predict([]Job{overdue}, 1, now).SlotWait; got < 250*ms {
		t.Errorf("%v for an answer that is overdue for long", got)
	}
}

// A further job makes nobody wait less, and time makes nobody wait more as
// long as nothing is overdue.
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
			t.Fatalf("%+v, with one more job %+v", before, more)
		}
		if later := Predict(jobs, slots, at(ms)); later.PrefillWait > before.PrefillWait {
			t.Fatalf("%+v, a millisecond later %+v", before, later)
		}
	})
}
