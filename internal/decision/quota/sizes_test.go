package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// sizeFleet simulates hosts that share the limit of one account whose requests
// are of two sizes.
type sizeFleet struct {
	limit       Limit
	ledger      *Ledger
	allocations []*Allocation
	reportedAt  []time.Time // by host
	// answered reports whether the coordinator answers requests for units.
	answered bool

	requested, admitted map[float64]int // by units
	history             []spent
}

type spent struct {
	at    time.Time
	units float64
}

const (
	smallUnits, largeUnits = 500.0, 8000.0
	fleetHosts             = 60
	fleetReportPeriod      = 450 * time.Millisecond
	fleetDuration          = 24 * time.Second
)

func newSizeFleet(answered bool) *sizeFleet {
	f := &sizeFleet{limit: Limit{Rate: 100_000, Burst: 100_000}, ledger: NewLedger(), answered: answered,
		requested: map[float64]int{}, admitted: map[float64]int{}}
	f.ledger.SetLimits(map[string]Limit{"a": f.limit})
	var names []string
	for i := range fleetHosts {
		names = append(names, hostName(i))
		f.allocations = append(f.allocations, NewAllocation())
	}
	f.reportedAt = make([]time.Time, fleetHosts)
	f.ledger.SetHosts(names)
	return f
}

// all includes every account in a report.
func all(string) bool { return true }

func hostName(i int) string { return fmt.Sprint("h", i) }

func (f *sizeFleet) report(host int, now time.Time) {
	a, elapsed := f.allocations[host], time.Duration(0)
	if !f.reportedAt[host].IsZero() {
		elapsed = now.Sub(f.reportedAt[host])
	}
	f.reportedAt[host] = now
	a.ApplyGrants(f.ledger.Report(hostName(host), elapsed, a.Report(all), now), now)
}

func (f *sizeFleet) request(host int, units float64, now time.Time) {
	f.requested[units]++
	if f.admit(f.allocations[host], units, now) {
		f.admitted[units]++
		f.history = append(f.history, spent{now, units})
	}
}

func (f *sizeFleet) admit(a *Allocation, units float64, now time.Time) bool {
	switch decision, _ := a.Admit("a", f.limit, units, now); {
	case decision == Admitted:
		return true
	case decision == OverLimit:
		return false
	case !f.answered:
		return a.AdmitAlone("a", f.limit, units, now)
	}
	ok, _ := f.ledger.Acquire("a", units)
	return ok
}

// run sends load times the limit at random hosts, half of the requests of each
// size.
func (f *sizeFleet) run(load float64) {
	const step = 5 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	perStep := load * f.limit.Rate * step.Seconds() / ((smallUnits + largeUnits) / 2)
	start := time.Unix(1000, 0)
	nextReport := make([]time.Time, fleetHosts)
	for i := range nextReport {
		nextReport[i] = start.Add(time.Duration(i) * fleetReportPeriod / fleetHosts)
		f.report(i, start)
	}
	due := 0.0
	for now := start; now.Sub(start) < fleetDuration; now = now.Add(step) {
		for i := range nextReport {
			if !now.Before(nextReport[i]) {
				f.report(i, now)
				nextReport[i] = now.Add(fleetReportPeriod)
			}
		}
		for due += perStep; due >= 1; due-- {
			units := smallUnits
			if rng.IntN(2) == 0 {
				units = largeUnits
			}
			f.request(rng.IntN(fleetHosts), units, now)
		}
	}
}

func (f *sizeFleet) servedShare(units float64) float64 {
	return float64(f.admitted[units]) / float64(f.requested[units])
}

// checkLimit checks the operator's rule: in each window of eight seconds at most
// a tenth above the limit and 140,000 units.
func (f *sizeFleet) checkLimit(t *testing.T) {
	t.Helper()
	const window = 8 * time.Second
	allowed := (f.limit.Rate*window.Seconds()+f.limit.Burst)*1.1 + 140_000
	first, sum := 0, 0.0
	for _, s := range f.history {
		sum += s.units
		for ; s.at.Sub(f.history[first].at) > window; first++ {
			sum -= f.history[first].units
		}
		if sum > allowed {
			t.Fatalf("%.0f units admitted in %v, allowed %.0f", sum, window, allowed)
		}
	}
}

// Guards against large requests being refused while small ones of the same
// account pass: a host's part of the limit is smaller than one large request.
func TestLargeRequestsAreServedAsOftenAsSmallOnes(t *testing.T) {
	for _, answered := range []bool{true, false} {
		for _, load := range []float64{0.4, 3} {
			t.Run(fmt.Sprintf("coordinator answers %v, load %v", answered, load), func(t *testing.T) {
				f := newSizeFleet(answered)
				f.run(load)
				small, large := f.servedShare(smallUnits), f.servedShare(largeUnits)
				t.Logf("served of the small requests %.2f, of the large ones %.2f", small, large)
				if large < 0.5*small || small < 0.5*large {
					t.Errorf("served of the small requests %.2f, of the large ones %.2f", small, large)
				}
				if want := min(1, 1/load) / 2; small < want || large < want {
					t.Errorf("want at least %.2f of each", want)
				}
				f.checkLimit(t)
			})
		}
	}
}
