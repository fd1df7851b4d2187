package fairshare

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestFactor(t *testing.T) {
	s := New()
	if s.Factor("unknown") != 1 {
		t.Error("an account without attempts is above its share")
	}
	for range 30 {
		s.Add("hot", 1)
	}
	for range 3 {
		s.Add("small", 1)
	}
	s.Add("large", 8)
	if got := s.Factor("hot"); got > 0.3 {
		t.Errorf("factor of the account with most attempts: %.2f, want a small one", got)
	}
	for _, account := range []string{"small", "large"} {
		if got := s.Factor(account); got != 1 {
			t.Errorf("factor of %s: %.2f, want 1", account, got)
		}
	}
	if s.Reset(); s.Factor("hot") != 1 {
		t.Error("attempts counted after the reset")
	}
}

func TestAccountWithinItsShareIsNeverHeldBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		accounts := rapid.IntRange(1, 20).Draw(t, "accounts")
		attempts, weights := make([]int, accounts), make([]float64, accounts)
		total, weightTotal := 0, 0.0
		for i := range accounts {
			attempts[i], weights[i] = rapid.IntRange(1, 50).Draw(t, "attempts"), rapid.Float64Range(0.1, 1e7).Draw(t, "weight")
			total, weightTotal = total+attempts[i], weightTotal+weights[i]
			for range attempts[i] {
				s.Add(fmt.Sprint(i), weights[i])
			}
		}
		for i := range accounts {
			factor := s.Factor(fmt.Sprint(i))
			within := float64(attempts[i]) <= weights[i]/weightTotal*float64(total)
			if factor < minFactor || factor > 1 || (within && factor != 1) {
				t.Fatalf("account %d with %d of %d attempts: factor %.2f", i, attempts[i], total, factor)
			}
		}
	})
}

// replay lets a hot account ask for 20 and each of the nine others for one attempt
// in a round, in arrival order, of endpoints with room for ten more in each round. An
// attempt lasts five rounds. It returns the share of their requests that the others
// were served.
func replay(fair bool) float64 {
	const rounds, others, hotDemand, room, lasts = 200, 9, 20, 10, 5
	var running [][]string // by round
	served := 0
	for range rounds {
		if len(running) == lasts {
			running = running[1:]
		}
		shares := New()
		for _, round := range running {
			for _, account := range round {
				shares.Add(account, 1)
			}
		}
		shares.Ask("hot", 1)
		for i := range others {
			shares.Ask(fmt.Sprint("other", i), 1)
		}
		var taken []string
		ask := func(account string) bool {
			free := float64(room - len(taken))
			// The last places are for those whose wait is not cut.
			if free <= 0 || (fair && free <= room*(1-shares.Factor(account))) {
				return false
			}
			taken = append(taken, account)
			return true
		}
		for range hotDemand {
			ask("hot")
		}
		for i := range others {
			if ask(fmt.Sprint("other", i)) {
				served++
			}
		}
		running = append(running, taken)
	}
	return float64(served) / (rounds * others)
}

// Guards against one account taking the room of all others.
func TestHotAccountLeavesRoomForTheOthers(t *testing.T) {
	if got := replay(false); got > 0.1 {
		t.Errorf("the load shows nothing: the others are served %.2f in arrival order", got)
	}
	if got := replay(true); got < 0.6 {
		t.Errorf("the others are served %.2f of their requests, want most", got)
	}
}
