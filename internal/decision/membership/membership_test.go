package membership

import (
	"fmt"
	"testing"
	"time"

	"kingcupcourse/internal/message"
)

func TestNextRankRisesWhateverTheClock(t *testing.T) {
	if got := NextRank(time.UnixMilli(5_000), 4_000); got != 5_000 {
		t.Errorf("got %d, want the time", got)
	}
	if got := NextRank(time.UnixMilli(5_000), 9_000); got != 9_001 {
		t.Errorf("got %d, want one above what was seen", got)
	}
}

func TestAliveUntilDeadAfter(t *testing.T) {
	heard := time.UnixMilli(0)
	if !Alive(heard, heard.Add(DeadAfter-time.Millisecond)) || Alive(heard, heard.Add(DeadAfter)) {
		t.Error("a member must be dead after DeadAfter, not before")
	}
}

func TestExactlyLimitMembersWatch(t *testing.T) {
	var members []message.Member
	for i := range 100 {
		members = append(members, message.Member{Host: fmt.Sprint("h", i), Role: message.RoleEntry, Leaving: i%10 == 0})
	}
	watching := 0
	for _, m := range members {
		if !m.Leaving && Watches(Name(m), members, MaxWatchers) {
			watching++
		}
	}
	if watching != MaxWatchers {
		t.Errorf("%d members watch, want %d", watching, MaxWatchers)
	}
	if !Watches("h1/entry", members[1:2], MaxWatchers) {
		t.Error("a lone member must watch")
	}
}
