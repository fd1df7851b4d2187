package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tick = 100 * time.Millisecond

// fleet is a set of hosts, each with an allocation and a ledger of its own.
type fleet struct {
	names       []string
	allocations []*Allocation
	ledgers     []*Ledger
	reportedAt  []time.Time // by host
	limit       Limit
	now         time.Time
	admitted    []float64 // units admitted per tick
}

func newFleet(hosts int, limit Limit) *fleet {
	f := &fleet{limit: limit, now: time.Unix(1000, 0), reportedAt: make([]time.Time, hosts)}
	for i := range hosts {
		f.names = append(f.names, fmt.Sprint("host-", i))
	}
	for range hosts {
		ledger := NewLedger()
		ledger.SetLimits(map[string]Limit{"a": limit})
		ledger.SetHosts(f.names)
		f.ledgers, f.allocations = append(f.ledgers, ledger), append(f.allocations, NewAllocation())
	}
	return f
}

// report lets a host report to a ledger.
func (f *fleet) report(host int, ledger *Ledger) {
	elapsed := time.Duration(0)
	if !f.reportedAt[host].IsZero() {
		elapsed = f.now.Sub(f.reportedAt[host])
	}
	f.reportedAt[host] = f.now
	allocation := f.allocations[host]
	allocation.ApplyGrants(ledger.Report(f.names[host], elapsed, allocation.Report(all), f.now), f.now)
}

// step lets each host i admit its demand of requests of the given size and report
// to the ledger of the host with the index ledgerOf[i].
func (f *fleet) step(demand []int, size float64, ledgerOf []int) {
	f.now = f.now.Add(tick)
	total := 0.0
	for i, allocation := range f.allocations {
		f.report(i, f.ledgers[ledgerOf[i]])
		for range demand[i] {
			decision, _ := allocation.Admit("a", f.limit, size, f.now)
			if decision == AskCoordinator {
				if ok, _ := f.ledgers[ledgerOf[i]].Acquire("a", size); ok {
					decision = Admitted
				}
			}
			if decision == Admitted {
				total += size
			}
		}
	}
	f.admitted = append(f.admitted, total)
}

// maxInWindow returns the most units admitted within any window of that many
// ticks.
func (f *fleet) maxInWindow(window int) float64 {
	most := 0.0
	for begin := range f.admitted {
		sum := 0.0
		for _, units := range f.admitted[begin:min(begin+window, len(f.admitted))] {
			sum += units
		}
		most = max(most, sum)
	}
	return most
}

// Checks that all hosts together stay within what the operator tolerates, however
// the demand is distributed and whichever hosts see each other. The figures are
// those of a deployment: a window of 8 s may hold a tenth and 140,000 units more
// than the limit, of which the ledgers' limits use four tenths; the largest
// request has 55,000 units.
func TestAllHostsTogetherStayWithinTheLimit(t *testing.T) {
	const overage, slack, usedByLedgers, windowTicks = 0.1, 140_000, 0.4, 80
	seconds := windowTicks * tick.Seconds()
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		rate := rapid.Float64Range(36_000, 300_000).Draw(t, "rate")
		f := newFleet(hosts, Limit{Rate: (1+usedByLedgers*overage)*rate + usedByLedgers*slack/seconds, Burst: (1 + usedByLedgers*overage) * rate})
		size := rapid.Float64Range(500, 55_000).Draw(t, "size")
		ledgerOf := make([]int, hosts)
		demand := make([]int, hosts)
		const ticks, groupTicks = 300, 50
		for at := range ticks {
			if at%groupTicks == 0 {
				groups := rapid.IntRange(1, 2).Draw(t, "groups")
				for i := range hosts {
					ledgerOf[i] = rapid.IntRange(0, min(groups, hosts)-1).Draw(t, "ledger")
					demand[i] = rapid.IntRange(0, 20).Draw(t, "demand")
				}
			}
			f.step(demand, size, ledgerOf)
		}
		allowed := (rate*seconds+rate)*(1+overage) + slack
		if most := f.maxInWindow(windowTicks); most > allowed {
			t.Fatalf("%.0f units in a window, allowed %.0f", most, allowed)
		}
	})
}

// Guards against hosts that move between ledgers earning their part of a limit at
// both: a ledger went on counting a host for some time after its last report.
func TestHostsThatMoveBetweenLedgersEarnTheirPartOnce(t *testing.T) {
	const hosts, rate = 8, 10_000
	f := newFleet(hosts, Limit{Rate: rate, Burst: rate})
	demand, ledgerOf := make([]int, hosts), make([]int, hosts)
	for i := range demand {
		demand[i] = 10
	}
	for at := range 160 {
		for i := range ledgerOf {
			ledgerOf[i] = (at/4 + i) % 2
		}
		f.step(demand, 100, ledgerOf)
	}
	const windowTicks = 80
	allowed := rate*(1+windowTicks*tick.Seconds()) + hosts*100
	if most := f.maxInWindow(windowTicks); most > allowed {
		t.Errorf("%.0f units in a window, allowed %.0f", most, allowed)
	}
}

// Checks that a limit that is not reached refuses nothing, however unevenly the
// demand is distributed.
func TestUnevenDemandBelowTheLimitIsAdmitted(t *testing.T) {
	f := newFleet(7, Limit{Rate: 10_000, Burst: 10_000})
	ledgerOf := make([]int, 7)
	for range 100 {
		f.step([]int{5, 1, 0, 0, 0, 0, 0}, 100, ledgerOf) // 6,000 units per second
	}
	for at, units := range f.admitted {
		if units != 600 {
			t.Fatalf("tick %d: %v units admitted, want 600", at, units)
		}
	}
}

// Checks that a host that reaches no other host uses an equal part of the limit.
func TestIsolatedHostUsesItsEqualPart(t *testing.T) {
	f := newFleet(5, Limit{Rate: 10_000, Burst: 10_000})
	for range 200 {
		f.step([]int{100, 0, 0, 0, 0}, 100, []int{0, 1, 1, 1, 1})
	}
	total := 0.0
	for _, units := range f.admitted[100:] {
		total += units
	}
	if total < 18_000 || total > 24_000 { // 2,000 per second for ten seconds
		t.Errorf("%v units in ten seconds, want about 20,000", total)
	}
}

// Checks that a lowered limit applies from the next grant on.
func TestLoweredLimitAppliesAtTheNextGrant(t *testing.T) {
	f := newFleet(3, Limit{Rate: 10_000, Burst: 10_000})
	for range 20 {
		f.step([]int{5, 5, 5}, 100, make([]int, 3))
	}
	for _, ledger := range f.ledgers {
		ledger.SetLimits(map[string]Limit{"a": {Rate: 1000, Burst: 1000}})
	}
	f.admitted = nil
	for range 100 {
		f.step([]int{5, 5, 5}, 100, make([]int, 3))
	}
	if most := f.maxInWindow(80); most > 1000*8+1000+1000 {
		t.Errorf("%v units in 8 s at 1,000 per second", most)
	}
}

// Checks that requests of about the burst are admitted although no host's part is
// that large, and that together they stay within the limit.
func TestRequestsLargerThanAHostsPart(t *testing.T) {
	f := newFleet(7, Limit{Rate: 10_000, Burst: 10_000})
	for at := range 400 {
		demand := make([]int, 7)
		demand[at%7] = 1
		f.step(demand, 15_000, make([]int, 7))
	}
	total := 0.0
	for _, units := range f.admitted {
		total += units
	}
	if total < 300_000 || total > 420_000 { // the inflow is 400,000
		t.Errorf("%v units admitted, want nearly 400,000", total)
	}
	if most := f.maxInWindow(80); most > 10_000*8+10_000+15_000 {
		t.Errorf("%v units in 8 s at 10,000 per second", most)
	}
}

// Checks that the whole burst is available once all hosts have reported, in any
// order, although the ledger started with a single host.
func TestBurstIsAvailableOnceAllHostsHaveReported(t *testing.T) {
	f := newFleet(4, Limit{Rate: 100, Burst: 10_000})
	for range 3 {
		f.step(make([]int, 4), 100, make([]int, 4))
	}
	if got := f.ledgers[0].accounts["a"].level; got < 9_900 {
		t.Errorf("%.0f left of an unused burst of 10,000", got)
	}
	// A host that restarts does not contribute a second part.
	f.step([]int{0, 80, 0, 0}, 100, make([]int, 4))
	f.allocations[2] = NewAllocation()
	before := f.ledgers[0].accounts["a"].level
	f.step(make([]int, 4), 100, make([]int, 4))
	if got := f.ledgers[0].accounts["a"].level; got > before+100 {
		t.Errorf("%.0f left, %.0f before a host restarted", got, before)
	}
}

// Guards against the hosts of a large fleet overrunning a limit when an account
// suddenly sends many times its usual: each host reports only every two seconds, and
// between two reports it admits its part without asking.
func TestSuddenDemandOnALargeFleetStaysWithinTheLimit(t *testing.T) {
	const hosts, reportTicks, windowTicks = 300, 21, 80
	const overage, slack, usedByLedgers, rate = 0.1, 140_000, 0.4, 900_000
	seconds := windowTicks * tick.Seconds()
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(hosts, Limit{Rate: (1+usedByLedgers*overage)*rate + usedByLedgers*slack/seconds, Burst: (1 + usedByLedgers*overage) * rate})
		size := 2_000 + 18_000*random.Float64()
		// usual and sudden are the demands in times of the limit.
		usual, sudden := 0.1+0.5*random.Float64(), 1+5*random.Float64()
		sending, suddenAt := 10+random.IntN(hosts-10), 50+random.IntN(20)
		ledger, owed := f.ledgers[0], make([]float64, hosts)
		for at := range 170 {
			f.now = f.now.Add(tick)
			demand := usual
			if at >= suddenAt {
				demand = sudden
			}
			total := 0.0
			for i, allocation := range f.allocations {
				if (at+i)%reportTicks == 0 || at == 0 {
					f.report(i, ledger)
				}
				if i >= sending {
					continue
				}
				for owed[i] += demand * rate * tick.Seconds() / float64(sending); owed[i] >= size; owed[i] -= size {
					decision, _ := allocation.Admit("a", f.limit, size, f.now)
					if decision == AskCoordinator {
						if ok, _ := ledger.Acquire("a", size); ok {
							decision = Admitted
						}
					}
					if decision == Admitted {
						total += size
					}
				}
			}
			f.admitted = append(f.admitted, total)
		}
		allowed := (rate*seconds+rate)*(1+overage) + slack
		if most := f.maxInWindow(windowTicks); most > allowed {
			t.Errorf("seed %d: %.0f units in a window, allowed %.0f", seed, most, allowed)
		}
	}
}

// Guards against an account being refused below its limit: requests that were
// admitted and then refused for want of room used up the limit.
func TestRefundedUnitsAreAdmittedAgain(t *testing.T) {
	const rate, size = 10_000, 100.0
	f := newFleet(4, Limit{Rate: rate, Burst: rate})
	demand := []int{20, 20, 20, 20}
	ran := 0.0
	for at := range 100 {
		f.step(demand, size, make([]int, 4))
		admitted, run := f.admitted[at], 0.0
		if at%2 == 0 { // the endpoints have room in every second tick
			run = admitted
		}
		ran += run
		f.allocations[0].Refund("a", admitted-run)
	}
	if want := 0.9 * 100 * rate * tick.Seconds(); ran < want {
		t.Errorf("%.0f units ran, want at least %.0f", ran, want)
	}
}

// Checks that refunds never let more run than the limit allows, whichever ledger
// takes them and however late they come.
func TestRefundsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, size, windowTicks = 50_000.0, 2000.0, 80
		hosts := rapid.IntRange(1, 6).Draw(t, "hosts")
		f := newFleet(hosts, Limit{Rate: rate, Burst: rate})
		demand, ledgerOf := make([]int, hosts), make([]int, hosts)
		var ran, owed []float64
		for at := range 200 {
			if at%40 == 0 {
				for i := range hosts {
					ledgerOf[i] = rapid.IntRange(0, min(2, hosts)-1).Draw(t, "ledger")
					demand[i] = rapid.IntRange(0, 10).Draw(t, "demand")
				}
			}
			f.step(demand, size, ledgerOf)
			admitted := f.admitted[at]
			refused := admitted * rapid.Float64Range(0, 1).Draw(t, "refused")
			ran, owed = append(ran, admitted-refused), append(owed, refused)
			delay := rapid.IntRange(0, 5).Draw(t, "delay")
			if at >= delay && owed[at-delay] > 0 {
				f.allocations[at%hosts].Refund("a", owed[at-delay])
				owed[at-delay] = 0
			}
		}
		f.admitted = ran
		// What is admitted and not yet refunded comes on top of the burst.
		allowed := rate*(2+windowTicks*tick.Seconds()) + float64(hosts)*10*size
		if most := f.maxInWindow(windowTicks); most > allowed {
			t.Fatalf("%.0f units ran in a window, allowed %.0f", most, allowed)
		}
	})
}
