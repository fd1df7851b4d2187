package engine

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupcourse/internal/ring"
)

// testModel is an engine duty that a test moves through virtual time.
type testModel struct {
	*duty
	t   *testing.T
	now time.Time
}

func newTestModel(t *testing.T, config Config) *testModel {
	inbox := ring.New[message]("test_engine", 1)
	d := newDuty(config.withDefaults(), inbox, func() error { return nil })
	return &testModel{duty: d, t: t, now: d.batch.clock}
}

func (m *testModel) advanceBy(passed time.Duration) {
	m.now = m.now.Add(passed)
	m.advance(m.now)
	m.publish(m.now)
}

func (m *testModel) submit(id, prompt string, maxTokens int) {
	m.t.Helper()
	asked := submitRun{Reply: ring.NewReply[progressReply](), request: request{id: id, prompt: prompt, maxTokens: maxTokens}}
	asked.handle(m.duty, m.now)
	if answer, err := asked.Wait(m.t.Context()); err != nil || answer.err != nil {
		m.t.Fatalf("%s: %v, %v", id, err, answer.err)
	}
}

func (m *testModel) expectProduced(id string, want int) {
	m.t.Helper()
	if got := m.runs[id].produced; got != want {
		m.t.Fatalf("%s has %d tokens, want %d", id, got, want)
	}
}

func TestStepTimeGrowsWithTheBatch(t *testing.T) {
	m := newTestModel(t, Config{Slots: 2, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 100, StepSlowdown: 0.5})
	m.submit("a", strings.Repeat("x", 400), 50)
	m.advanceBy(99 * time.Millisecond)
	m.expectProduced("a", 0)
	m.advanceBy(12 * time.Millisecond)
	m.expectProduced("a", 1)
	m.advanceBy(90 * time.Millisecond)
	m.expectProduced("a", 10)
	m.submit("b", "y", 50)
	m.advanceBy(300 * time.Millisecond)
	// With two in the batch a step takes 15 ms and not 10.
	if got := m.runs["a"].produced; got < 30 || got > 31 {
		t.Fatalf("a has %d tokens", got)
	}
	if got := m.stats.PrefillTokens; got != 101 {
		t.Fatalf("prefilled %d tokens", got)
	}
}

func TestBatchAdmissionIsFIFO(t *testing.T) {
	m := newTestModel(t, Config{Slots: 4, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 100, CacheTokens: 100})
	m.submit("a", "x", 60)
	m.submit("too big for now", "y", 60)
	m.submit("small", "z", 1)
	m.advanceBy(300 * time.Millisecond)
	m.expectProduced("small", 0)
	if report := m.currentLoad(m.now); report.Running != 1 || report.Waiting != 2 || report.FreeCacheTokens != 39 ||
		report.OutstandingTokens != 31+61+2 {
		t.Fatalf("report %+v", report)
	}
	m.advanceBy(400 * time.Millisecond)
	m.expectProduced("small", 1)
}

func TestCacheReusesAndEvictsPrefixes(t *testing.T) {
	m := newTestModel(t, Config{Slots: 1, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1000, CacheTokens: 4*blockTokens + 1})
	prompt := func(letter string, blocks int) string { return strings.Repeat(letter, blocks*blockBytes) }
	m.submit("a", prompt("a", 2), 1)
	m.advanceBy(time.Second)
	m.submit("longer", prompt("a", 3), 1)
	m.advanceBy(time.Second)
	if m.stats.PrefillTokens != 3*blockTokens || m.stats.CachedPrefillTokens != 2*blockTokens {
		t.Fatalf("stats %+v", m.stats)
	}
	m.submit("b", prompt("b", 2), 1)
	m.advanceBy(time.Second)
	// The last block of the longer prompt goes first, its start stays.
	kinds := ""
	for _, e := range m.events.since(0, time.Now().Add(time.Hour)).Events {
		kinds += e.Kind[:1]
	}
	if kinds != "sss"+"e"+"ss" {
		t.Fatalf("events %s", kinds)
	}
	if _, kept := m.batch.cache.blocks[xxhash.Sum64String(prompt("a", 2))]; !kept {
		t.Fatal("the shared start was evicted")
	}
	if free := m.batch.cache.freeTokens(); free != 4*blockTokens+1 {
		t.Fatalf("free %d", free)
	}
}

// TestCacheMemoryIsConserved runs random work, cancels some of it, and
// checks that memory is never exceeded and all given back.
func TestCacheMemoryIsConserved(t *testing.T) {
	const seed = 7
	random := rand.New(rand.NewPCG(seed, seed))
	m := newTestModel(t, Config{Slots: 3, PrefillTokensPerSecond: 5000, DecodeTokensPerSecond: 500, CacheTokens: 20 * blockTokens})
	for i := range 400 {
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		m.submit(id, strings.Repeat(string(rune('a'+random.IntN(5))), random.IntN(9*blockBytes)+1), random.IntN(40)+1)
		m.advanceBy(time.Duration(random.IntN(40)) * time.Millisecond)
		if c := m.batch.cache; c.unusedTokens() < 0 || c.privateTokens < 0 || c.pinnedBlocks < 0 {
			t.Fatalf("seed %d, step %d: private %d, pinned %d, unused %d", seed, i, c.privateTokens, c.pinnedBlocks, c.unusedTokens())
		}
		if random.IntN(4) == 0 {
			cancelRun{Reply: ring.NewReply[bool](), id: id}.handle(m.duty, m.now)
		}
	}
	m.advanceBy(time.Hour)
	if c := m.batch.cache; c.privateTokens != 0 || c.pinnedBlocks != 0 || len(m.batch.running)+len(m.batch.waiting) != 0 {
		t.Fatalf("seed %d: private %d, pinned %d", seed, c.privateTokens, c.pinnedBlocks)
	}
	if s := m.stats; s.Started != s.Finished+s.Cancelled {
		t.Fatalf("seed %d: stats %+v", seed, s)
	}
}

func TestRequestReceivedBeforeCrashIsNotStarted(t *testing.T) {
	m := newTestModel(t, Config{})
	resetState{generation: 1}.handle(m.duty, m.now)
	late := submitRun{Reply: ring.NewReply[progressReply](), request: request{id: "late", prompt: "x", maxTokens: 1}}
	late.handle(m.duty, m.now)
	if answer, err := late.Wait(t.Context()); err != nil || !errors.Is(answer.err, errLost) || m.stats.Started != 0 {
		t.Fatalf("got %v, %v, started %d", answer.err, err, m.stats.Started)
	}
}

func TestFrozenBatchMakesNoProgress(t *testing.T) {
	m := newTestModel(t, Config{DecodeTokensPerSecond: 100, PrefillTokensPerSecond: 1e6})
	m.submit("a", "x", 50)
	m.advanceBy(45 * time.Millisecond)
	m.expectProduced("a", 4)
	m.batch.settings.Freeze = true
	m.advanceBy(time.Hour)
	m.expectProduced("a", 4)
	m.batch.settings.Freeze = false
	m.advanceBy(10 * time.Millisecond)
	m.expectProduced("a", 5)
}

func TestCacheEventDelayAndGaps(t *testing.T) {
	log := &eventLog{delay: time.Hour, gapRate: 0.5, rng: rand.New(rand.NewPCG(1, 1))}
	for i := range 100 {
		log.add(kindStored, uint64(i))
	}
	if got := log.since(0, time.Now()); got.Next != 0 || len(got.Events) != 0 {
		t.Fatalf("seen early: %+v", got)
	}
	got := log.since(10, time.Now().Add(2*time.Hour))
	if got.Next != 100 || len(got.Events) < 20 || len(got.Events) > 70 || got.Events[0].Seq <= 10 {
		t.Fatalf("next %d, %d events", got.Next, len(got.Events))
	}
	log.reset()
	log.add(kindStored, 5)
	if got := log.since(100, time.Now().Add(2*time.Hour)); got.Next != 1 {
		t.Fatalf("after a crash: %+v", got)
	}
}

func TestLoadReportIsDelayed(t *testing.T) {
	m := newTestModel(t, Config{LoadLagMS: 500, DecodeTokensPerSecond: 1})
	m.advanceBy(0)
	m.submit("a", "x", 50)
	m.advanceBy(100 * time.Millisecond)
	if got := m.history.delayedReport(m.now); got.Running != 0 {
		t.Fatalf("seen early: %+v", got)
	}
	for range 8 {
		m.advanceBy(100 * time.Millisecond)
	}
	got := m.history.delayedReport(m.now)
	if age := m.now.UnixMilli() - got.AsOfUnixMS; got.Running != 1 || age < 499 || age > 601 {
		t.Fatalf("%d ms old: %+v", age, got)
	}
}
