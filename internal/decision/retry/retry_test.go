package retry

import (
	"strconv"
	"testing"
	"time"

	"kingcupcourse/internal/core"
)

func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		attempt Attempt
		want    Decision
	}{
		{"not dispatched is free", Attempt{Result: core.ResultNotDispatched, RunOnce: true}, Free},
		{"rejected is free", Attempt{Result: core.ResultRejected, RunOnce: true}, Free},
		{"lost run-once stops", Attempt{Result: core.ResultLost, RunOnce: true}, Stop},
		{"failed run-once stops", Attempt{Result: core.ResultFailed, RunOnce: true}, Stop},
		{"lost repeatable costs", Attempt{Result: core.ResultLost}, Budgeted},
		{"failed repeatable costs", Attempt{Result: core.ResultFailed}, Budgeted},
		{"answer started stops", Attempt{Result: core.ResultLost, ResponseStarted: true}, Stop},
		{"poisonous stops", Attempt{Result: core.ResultLost, Poisonous: true}, Stop},
		{"cancelled stops", Attempt{Result: core.ResultCancelled}, Stop},
		{"ok stops", Attempt{Result: core.ResultOK}, Stop},
		{"too many attempts stop", Attempt{Result: core.ResultRejected, Dispatches: MaxAttempts}, Stop},
		{"too near the deadline stops", Attempt{Result: core.ResultLost, Deadline: now.Add(MinRemaining / 2)}, Stop},
	} {
		c.attempt.Now = now
		if c.attempt.Deadline.IsZero() {
			c.attempt.Deadline = now.Add(time.Minute)
		}
		if got := Decide(c.attempt); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

func TestPausesAfterDeathAreSpread(t *testing.T) {
	var early, late int
	for i := range 1000 {
		switch pause := PauseAfterDeath(strconv.Itoa(i)); {
		case pause < 0 || pause >= maxPauseAfterDeath:
			t.Fatal(pause)
		case pause < maxPauseAfterDeath/2:
			early++
		default:
			late++
		}
	}
	if early < 400 || late < 400 {
		t.Fatalf("%d early, %d late", early, late)
	}
}

func TestBudgetLimitsRetriesToTheRatio(t *testing.T) {
	budget := NewBudget()
	const requests = 10_000
	retries := 0
	for range requests {
		budget.Deposit()
		if budget.TryWithdraw() {
			retries++
		}
	}
	if most := int(requests*Ratio + Burst); retries > most || retries < most-2 {
		t.Fatalf("%d retries, want about %d", retries, most)
	}
}
