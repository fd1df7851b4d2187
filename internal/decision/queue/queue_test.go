package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kingcupcourse/internal/core"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func item(id, account string, tier core.Tier, tokens int, deadline time.Duration) *Item {
	return &Item{ID: id, Weight: 1, Tokens: tokens, SlotTime: time.Duration(tokens) * time.Millisecond,
		Request: core.Request{Account: account, Tier: tier, Deadline: epoch.Add(deadline)}}
}

func drawItem(t *rapid.T, n int) *Item {
	account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
	tier := core.Tier(rapid.IntRange(1, 3).Draw(t, "tier"))
	i := item(fmt.Sprint(n), account, tier, rapid.IntRange(1, 400).Draw(t, "tokens"),
		time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline"))*time.Second)
	i.Weight = rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "weight")
	return i
}

// Checks with random loads that nothing is shed before something less important,
// that nothing is refused while something less important waits, and that the
// order of placement is strict by tier.
func TestNoTierInversion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Limits{Requests: 12, Tokens: 2000})
		present := map[string]*Item{}
		offered := 0
		lowest := func() core.Tier {
			lowest := core.Tier(0)
			for _, i := range present {
				lowest = max(lowest, i.Request.Tier)
			}
			return lowest
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				offered++
				i := drawItem(t, offered)
				below := lowest()
				shed, ok := q.Add(i)
				if !ok {
					if below > i.Request.Tier {
						t.Fatalf("tier %d refused while tier %d waits", i.Request.Tier, below)
					}
					return
				}
				present[i.ID] = i
				for _, victim := range shed {
					delete(present, victim.ID)
					if victim.Request.Tier < i.Request.Tier {
						t.Fatalf("tier %d shed for tier %d", victim.Request.Tier, i.Request.Tier)
					}
					if left := lowest(); victim.Request.Tier < left && left > i.Request.Tier {
						t.Fatalf("tier %d shed before tier %d", victim.Request.Tier, left)
					}
				}
			},
			"pop": func(t *rapid.T) {
				i := q.Pop()
				if i == nil {
					if len(present) > 0 {
						t.Fatal("nothing was popped from a queue with items")
					}
					return
				}
				for _, other := range present {
					if other.Request.Tier < i.Request.Tier {
						t.Fatalf("tier %d placed before tier %d", i.Request.Tier, other.Request.Tier)
					}
				}
				if rapid.Bool().Draw(t, "suits") {
					q.Commit(i)
					delete(present, i.ID)
					return
				}
				q.Requeue(i)
			},
			"remove": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, max(1, offered)).Draw(t, "id"))
				if (q.Remove(id) != nil) != (present[id] != nil) {
					t.Fatalf("removal of %s found an item that does not wait, or missed one that does", id)
				}
				delete(present, id)
			},
			"": func(t *rapid.T) { checkCounts(t, q, present) },
		})
	})
}

func checkCounts(t *rapid.T, q *Queue, present map[string]*Item) {
	tokens, slotTime := 0, time.Duration(0)
	for _, i := range present {
		tokens += i.Tokens
		slotTime += i.SlotTime
	}
	if q.Len() != len(present) || q.Tokens() != tokens || q.TotalSlotTime() != slotTime {
		t.Fatalf("counts %d requests, %d tokens, %v slot time; want %d, %d, %v",
			q.Len(), q.Tokens(), q.TotalSlotTime(), len(present), tokens, slotTime)
	}
	if q.Len() > 12 || q.Tokens() > 2000 {
		t.Fatalf("over the limits: %d requests, %d tokens", q.Len(), q.Tokens())
	}
}

func TestTokenSharesFollowWeights(t *testing.T) {
	q := New(Limits{})
	for n := range 600 {
		big, small := item(fmt.Sprint("b", n), "big", 1, 10, time.Minute), item(fmt.Sprint("s", n), "small", 1, 40, time.Minute)
		big.Weight = 2
		q.Add(big)
		q.Add(small)
	}
	tokens := map[string]int{}
	for range 500 {
		i := q.Pop()
		q.Commit(i)
		tokens[i.Request.Account] += i.Tokens
	}
	if ratio := float64(tokens["big"]) / float64(tokens["small"]); ratio < 1.9 || ratio > 2.1 {
		t.Fatalf("ratio of tokens %.2f, want 2", ratio)
	}
}

func TestFloodingAccountLosesItsNewestItem(t *testing.T) {
	q := New(Limits{Requests: 10})
	for n := range 20 {
		q.Add(item(fmt.Sprint("b", n), "big", 1, 100, time.Minute))
	}
	shed, ok := q.Add(item("s", "small", 1, 100, time.Minute))
	if !ok || len(shed) != 1 || shed[0].ID != "b9" {
		t.Fatalf("got %v, shed %v; want the newest item of the big account shed", ok, shed)
	}
	if first, second := q.Pop(), q.Pop(); first.ID != "s" && second.ID != "s" {
		t.Fatalf("placed %s and %s before the small account", first.ID, second.ID)
	}
}

func TestIdleAccountAccumulatesNoShare(t *testing.T) {
	q := New(Limits{})
	for n := range 100 {
		q.Add(item(fmt.Sprint("b", n), "busy", 1, 100, time.Minute))
	}
	for range 50 {
		q.Commit(q.Pop())
	}
	for n := range 10 {
		q.Add(item(fmt.Sprint("i", n), "idle", 1, 100, time.Minute))
	}
	idle := 0
	for range 10 {
		i := q.Pop()
		q.Commit(i)
		if i.Request.Account == "idle" {
			idle++
		}
	}
	if idle < 4 || idle > 6 {
		t.Fatalf("the account that was idle got %d of 10, want about 5", idle)
	}
}

func TestOrderAndSlotTimeAhead(t *testing.T) {
	q := New(Limits{})
	q.Add(item("late", "a", 2, 10, 50*time.Second))
	q.Add(item("soon", "a", 2, 20, 10*time.Second))
	q.Add(item("top", "b", 1, 40, 50*time.Second))
	q.Add(item("low", "c", 3, 1000, time.Second))
	for _, test := range []struct {
		name string
		item *Item
		want time.Duration
	}{
		{"top tier", item("x", "x", 1, 10, time.Second), 10 * time.Millisecond},
		{"same account, between", item("x", "a", 2, 10, 30*time.Second), 60 * time.Millisecond},
		{"lowest", item("x", "a", 3, 10, time.Minute), 80 * time.Millisecond},
	} {
		if got := q.SlotTimeAhead(test.item); got != test.want {
			t.Errorf("%s: slot time ahead is %v, want %v", test.name, got, test.want)
		}
	}
	for _, want := range []string{"top", "soon", "late", "low"} {
		if got := q.Pop().ID; got != want {
			t.Fatalf("popped %s, want %s", got, want)
		}
	}
}

func TestExpireAfterLatestStart(t *testing.T) {
	q := New(Limits{})
	late := item("late", "a", 1, 10, time.Minute)
	late.LatestStart = epoch.Add(time.Second)
	q.Add(late)
	q.Add(item("good", "a", 1, 10, time.Minute))
	expired := q.Expire(epoch.Add(2 * time.Second))
	if len(expired) != 1 || expired[0] != late || q.Len() != 1 {
		t.Fatalf("got expired items %v, want the late one", expired)
	}
}

func BenchmarkAddPopCommit(b *testing.B) {
	q := New(Limits{Requests: 1024, Tokens: 4_000_000})
	items := make([]*Item, 1024)
	for n := range items {
		items[n] = item(fmt.Sprint(n), fmt.Sprint("account", n%5), core.Tier(1+n%3), 100+n%700, time.Duration(n)*time.Second)
	}
	for _, i := range items[:512] {
		q.Add(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		i := items[512+n%512]
		q.Add(i)
		popped := q.Pop()
		q.Commit(popped)
		if popped != i {
			q.Remove(i.ID)
			q.Add(popped)
		}
	}
}
