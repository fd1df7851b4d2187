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

// model is an engine duty that a test moves through virtual time.
type model struct {
	*duty
	t   *testing.T
	now time.Time
}

func newModel(t *testing.T, config Config) *model {
	inbox := ring.New[message]("test_engine", 1)
	d := newDuty(config.withDefaults(), inbox, func() error { return nil })
	return &model{duty: d, t: t, now: d.batch.clock}
}

func (m *model) after(passed time.Duration) {
	m.now = m.now.Add(passed)
	m.advance(m.now)
	m.settle(m.now)
}

func (m *model) submit(id, prompt string, maxTokens int) {
	m.t.Helper()
	asked := submitAsked{Reply: ring.NewReply[progressAnswer](), request: request{id: id, prompt: prompt, maxTokens: maxTokens}}
	asked.handle(m.duty, m.now)
	if answer, err := asked.Wait(m.t.Context()); err != nil || answer.err != nil {
		m.t.Fatalf("%s: %v, %v", id, err, answer.err)
	}
}

func (m *model) expectProduced(id string, want int) {
	m.t.Helper()
	if got := m.runs[id].produced; got != want {
		m.t.Fatalf("%s has %d tokens, want %d", id, got, want)
	}
}

func TestBatchPrefillsThenDecodesAndSlowsDown(t *testing.T) {
	m := newModel(t, Config{Slots: 2, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 100, StepSlowdown: 0.5})
	m.submit("a", strings.Repeat("x", 400), 50)
	m.after(99 * time.Millisecond)
	m.expectProduced("a", 0)
	m.after(12 * time.Millisecond)
	m.expectProduced("a", 1)
	m.after(90 * time.Millisecond)
	m.expectProduced("a", 10)
	m.submit("b", "y", 50)
	m.after(300 * time.Millisecond)
	// With two in the batch a step takes 15 ms and not 10.
	if got := m.runs["a"].produced; got < 30 || got > 31 {
		t.Fatalf("a has %d tokens", got)
	}
	if got := m.stats.PrefillTokens; got != 101 {
		t.Fatalf("prefilled %d tokens", got)
	}
}

func TestBatchAdmitsInArrivalOrder(t *testing.T) {
	m := newModel(t, Config{Slots: 4, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 100, CacheTokens: 100})
	m.submit("a", "x", 60)
	m.submit("too big for now", "y", 60)
	m.submit("small", "z", 1)
	m.after(300 * time.Millisecond)
	m.expectProduced("small", 0)
	if report := m.report(m.now); report.Running != 1 || report.Waiting != 2 || report.FreeCacheTokens != 39 ||
		report.OutstandingTokens != 31+61+2 {
		t.Fatalf("report %+v", report)
	}
	m.after(400 * time.Millisecond)
	m.expectProduced("small", 1)
}

func TestBatchReusesAndEvictsPrefixes(t *testing.T) {
	m := newModel(t, Config{Slots: 1, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1000, CacheTokens: 4*blockTokens + 1})
	prompt := func(letter string, blocks int) string { return strings.Repeat(letter, blocks*blockBytes) }
	m.submit("a", prompt("a", 2), 1)
	m.after(time.Second)
	m.submit("longer", prompt("a", 3), 1)
	m.after(time.Second)
	if m.stats.PrefillTokens != 3*blockTokens || m.stats.CachedPrefillTokens != 2*blockTokens {
		t.Fatalf("stats %+v", m.stats)
	}
	m.submit("b", prompt("b", 2), 1)
	m.after(time.Second)
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
	if free := m.batch.cache.free(); free != 4*blockTokens+1 {
		t.Fatalf("free %d", free)
	}
}

// TestCacheMemoryIsConserved runs random work, cancels some of it, and
// checks that memory is never exceeded and all given back.
func TestCacheMemoryIsConserved(t *testing.T) {
	const seed = 7
	random := rand.New(rand.NewPCG(seed, seed))
	m := newModel(t, Config{Slots: 3, PrefillTokensPerSecond: 5000, DecodeTokensPerSecond: 500, CacheTokens: 20 * blockTokens})
	for i := range 400 {
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		m.submit(id, strings.Repeat(string(rune('a'+random.IntN(5))), random.IntN(9*blockBytes)+1), random.IntN(40)+1)
		m.after(time.Duration(random.IntN(40)) * time.Millisecond)
		if c := m.batch.cache; c.unused() < 0 || c.private < 0 || c.pinned < 0 {
			t.Fatalf("seed %d, step %d: private %d, pinned %d, unused %d", seed, i, c.private, c.pinned, c.unused())
		}
		if random.IntN(4) == 0 {
			cancelOrdered{Reply: ring.NewReply[bool](), id: id}.handle(m.duty, m.now)
		}
	}
	m.after(time.Hour)
	if c := m.batch.cache; c.private != 0 || c.pinned != 0 || len(m.batch.running)+len(m.batch.waiting) != 0 {
		t.Fatalf("seed %d: private %d, pinned %d", seed, c.private, c.pinned)
	}
	if s := m.stats; s.Started != s.Finished+s.Cancelled {
		t.Fatalf("seed %d: stats %+v", seed, s)
	}
}

func TestRequestFromBeforeACrashIsNotStarted(t *testing.T) {
	m := newModel(t, Config{})
	stateLost{life: 1}.handle(m.duty, m.now)
	late := submitAsked{Reply: ring.NewReply[progressAnswer](), request: request{id: "late", prompt: "x", maxTokens: 1}}
	late.handle(m.duty, m.now)
	if answer, err := late.Wait(t.Context()); err != nil || !errors.Is(answer.err, errLost) || m.stats.Started != 0 {
		t.Fatalf("got %v, %v, started %d", answer.err, err, m.stats.Started)
	}
}

func TestFrozenBatchStandsStill(t *testing.T) {
	m := newModel(t, Config{DecodeTokensPerSecond: 100, PrefillTokensPerSecond: 1e6})
	m.submit("a", "x", 50)
	m.after(45 * time.Millisecond)
	m.expectProduced("a", 4)
	m.batch.settings.Freeze = true
	m.after(time.Hour)
	m.expectProduced("a", 4)
	m.batch.settings.Freeze = false
	m.after(10 * time.Millisecond)
	m.expectProduced("a", 5)
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	log := &eventLog{lag: time.Hour, gapRate: 0.5, random: rand.New(rand.NewPCG(1, 1))}
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

func TestLoadReportLags(t *testing.T) {
	m := newModel(t, Config{LoadLagMS: 500, DecodeTokensPerSecond: 1})
	m.after(0)
	m.submit("a", "x", 50)
	m.after(100 * time.Millisecond)
	if got := m.history.report(m.now); got.Running != 0 {
		t.Fatalf("seen early: %+v", got)
	}
	for range 8 {
		m.after(100 * time.Millisecond)
	}
	got := m.history.report(m.now)
	if age := m.now.UnixMilli() - got.AsOfUnixMS; got.Running != 1 || age < 499 || age > 601 {
		t.Fatalf("%d ms old: %+v", age, got)
	}
}
