package fleet

import (
	"testing"
	"time"

	"kingcupcourse/internal/decision/fleet"
)

// Guards against limits that earn nothing for a whole report period after all hosts of
// a large fleet have started together, which refuses what is within them.
func TestLimitsLastUntilTheSecondReport(t *testing.T) {
	order := make([]fleet.Host, 295)
	start, period := time.Unix(1000, 0), reportPeriod(len(order))
	sum := time.Duration(0)
	for range order {
		r := &usageReporter{order: order}
		if first := r.elapsed(start); first != firstElapsed {
			t.Fatalf("the first report covers %v, want %v", first, firstElapsed)
		}
		next := r.period()
		if next >= period {
			t.Fatalf("the second report follows after %v, want less than %v", next, period)
		}
		sum += next
		r.reportedAt = start
		if got := r.elapsed(start.Add(next)); got != next {
			t.Fatalf("the second report covers %v, want %v", got, next)
		}
	}
	if mean := sum / time.Duration(len(order)); mean < period/3 || mean > 2*period/3 {
		t.Errorf("the second reports follow after %v in the mean of a period of %v", mean, period)
	}
}
