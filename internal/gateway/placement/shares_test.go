package placement

import (
	"fmt"
	"testing"
	"time"

	"kingcupcourse/internal/core"
)

// Replays an account that asks for ten times as much as each of four others, at
// engines that serve half of the demand. Guards against the others being refused as
// often as that account. It gets what they leave.
func TestOneAccountDoesNotTakeTheRoomOfTheOthers(t *testing.T) {
	served := func(enabled bool) (hot, others float64) {
		d, now := newDuty(4), time.Now()
		d.shares.enabled = enabled
		for i := range 40 {
			d.run(t, newRequest(i, 2000+500*(i%5)), float64(20+5*(i%5)), 400, now)
		}
		type ending struct {
			attempt string
			at      time.Time
		}
		var running []ending
		asked, got := map[bool]int{}, map[bool]int{}
		for at := range 3000 {
			now = now.Add(2 * time.Millisecond)
			for len(running) > 0 && running[0].at.Before(now) {
				d.applyUpdate(Update{Attempt: running[0].attempt, Result: core.ResultCancelled}, now)
				running = running[1:]
			}
			req := newRequest(100+at, 3000)
			req.Account, req.AccountWeight = "hot", 1000
			if at%14 < 4 {
				req.Account = fmt.Sprint("other", at%14)
			}
			isHot := req.Account == "hot"
			asked[isHot]++
			if choice := d.choose(req, now); choice.Endpoint != "" {
				got[isHot]++
				running = append(running, ending{req.Attempt, now.Add(100 * time.Millisecond)})
			}
		}
		return float64(got[true]) / float64(asked[true]), float64(got[false]) / float64(asked[false])
	}
	hotBefore, othersBefore := served(false)
	hot, others := served(true)
	t.Logf("served without shares: %.2f of the hot account, %.2f of the others; with shares: %.2f and %.2f", hotBefore, othersBefore, hot, others)
	if others < othersBefore+0.1 || others < hot+0.1 {
		t.Errorf("the others are served %.2f of their requests, without shares %.2f; the hot account %.2f", others, othersBefore, hot)
	}
	if hot < hotBefore/2 {
		t.Errorf("the hot account is served %.2f, without shares %.2f: room is left unused", hot, hotBefore)
	}
}
