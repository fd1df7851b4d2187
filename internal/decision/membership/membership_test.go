package membership

import (
	"fmt"
	"testing"
	"time"

	"kingcupcourse/internal/message"
)

func TestNextRankIncreasesIfTheClockGoesBack(t *testing.T) {
	if got := NextRank(time.UnixMilli(5_000), 4_000); got != 5_000 {
		t.Errorf("got %d, want the time", got)
	}
	if got := NextRank(time.UnixMilli(5_000), 9_000); got != 9_001 {
		t.Errorf("got %d, want one above the highest rank seen", got)
	}
}

func TestSuspectIsAliveUntilSuspectTimeout(t *testing.T) {
	raised := time.UnixMilli(0)
	suspect := message.Member{Suspect: true}
	if !Alive(suspect, raised, raised.Add(SuspectTimeout-time.Millisecond)) ||
		Alive(suspect, raised, raised.Add(SuspectTimeout)) {
		t.Error("a suspect must count as dead from SuspectTimeout on, and not before")
	}
	if !Alive(message.Member{}, raised, raised.Add(time.Hour)) {
		t.Error("a member that is not suspected must be alive")
	}
	announced := message.Fact{Key: "h/entry", Rank: 7, Value: []byte("old")}
	suspicion := SuspectFact(announced, []byte("new"))
	if suspicion.Rank != 8 || NextRank(raised, suspicion.Rank) <= suspicion.Rank || string(announced.Value) != "old" {
		t.Error("a suspicion must outrank the announcement, and the next announcement the suspicion")
	}
}

func TestNumberOfWatchersEqualsTheLimit(t *testing.T) {
	var members []message.Member
	for i := range 100 {
		members = append(members, message.Member{Host: fmt.Sprint("h", i), Role: message.RoleEntry, Draining: i%10 == 0})
	}
	watching := 0
	for _, m := range members {
		if !m.Draining && IsWatcher(Key(m), members, MaxWatchers) {
			watching++
		}
	}
	if watching != MaxWatchers {
		t.Errorf("%d members watch, want %d", watching, MaxWatchers)
	}
	if !IsWatcher("h1/entry", members[1:2], MaxWatchers) {
		t.Error("the only member must watch")
	}
}
