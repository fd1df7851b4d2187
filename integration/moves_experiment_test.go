//go:build experiment

package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/message"
)

var (
	movesSeed     = flag.Uint64("moves.seed", 1, "seed of the set of moves")
	movesClusters = flag.Int("moves.clusters", 8, "clusters, one after the other")
	movesSlowdown = flag.Float64("moves.slowdown", 0.05, "part by which each running request lengthens an engine's step")
)

const movesPerCluster = 8

// behaviour is how the new version of a move behaves.
type behaviour string

const (
	behavesWell  behaviour = "good"
	badAtOnce    behaviour = "bad at once"
	badLater     behaviour = "bad later"
	badUnderLoad behaviour = "bad under load"
	badRoute     behaviour = "bad on one route"
	badSlow      behaviour = "slow"
)

// trouble is what happens to a cluster while its moves run.
type trouble string

const (
	noTrouble      trouble = "none"
	rolloutKilled  trouble = "a rollout process killed"
	answersLost    trouble = "answers of writes lost"
	platformOutage trouble = "platform outage of 4 s"
	ownerKilled    trouble = "a scheduler and a rollout process killed"
)

// plan is a move of the set and what became of it.
type plan struct {
	movingPool
	behaviour behaviour
	trouble   trouble

	status     message.MoveStatus
	judged     bool
	share      float64
	overCap    int           // placements that took the version over its cap
	afterwards time.Duration // last dispatch after the verdict
	took       time.Duration
	cut        int
}

// TestMovesExperiment carries out a seeded set of moves and prints what became
// of them. It judges nothing but the promises.
func TestMovesExperiment(t *testing.T) {
	random := rand.New(rand.NewPCG(*movesSeed, 0))
	var all []*plan
	for i := range *movesClusters {
		plans := drawPlans(random, i)
		t.Run(fmt.Sprintf("cluster-%d", i), func(t *testing.T) { carryOut(t, random, plans) })
		all = append(all, plans...)
	}
	summarize(t, all)
}

// drawPlans draws the moves of one cluster: two in five are good. The first
// half of the clusters has mostly model engines, the second half as many plain
// services; in every second cluster something fails.
func drawPlans(random *rand.Rand, cluster int) []*plan {
	troubles := []trouble{noTrouble, rolloutKilled, noTrouble, answersLost, noTrouble, platformOutage, noTrouble, ownerKilled}
	services := 2
	if cluster >= *movesClusters/2 {
		services = 4
	}
	var plans []*plan
	for i := range movesPerCluster {
		p := &plan{trouble: troubles[cluster%len(troubles)], behaviour: drawBehaviour(random)}
		p.movingPool = movingPool{name: fmt.Sprintf("pool-%d", i), kind: core.KindModel, deadline: moveDeadline,
			stepSlowdown: *movesSlowdown,
			soak:         5 * time.Second, ignoresFence: random.IntN(2) == 0}
		if i < services {
			p.kind = core.KindService
		}
		p.fault = faultOf(p)
		plans = append(plans, p)
	}
	return plans
}

func drawBehaviour(random *rand.Rand) behaviour {
	if random.Float64() < 0.4 {
		return behavesWell
	}
	bad := []behaviour{badAtOnce, badLater, badUnderLoad, badRoute, badSlow}
	return bad[random.IntN(len(bad))]
}

func faultOf(p *plan) string {
	switch p.behaviour {
	case badAtOnce:
		return `{"error_rate": 1}`
	case badUnderLoad:
		return `{"fail_above_running": 1}`
	case badSlow:
		return `{"slow_factor": 5}`
	case badRoute:
		if p.kind == core.KindService {
			return fmt.Sprintf(`{"error_rate": 1, "error_route": "/%s/file"}`, p.name)
		}
		return `{"error_rate": 1, "error_route": "/v1/chat"}`
	}
	return ""
}

func carryOut(t *testing.T, random *rand.Rand, plans []*plan) {
	var pools []movingPool
	for _, p := range plans {
		pools = append(pools, p.movingPool)
	}
	m := startMoves(t, pools...)
	began := time.Now()
	for _, p := range plans {
		if p.behaviour == badLater {
			at := began.Add(5*time.Second + time.Duration(random.Int64N(int64(12*time.Second))))
			m.fault(p.tried(), fmt.Sprintf(`{"fail_after_unix_ms": %d}`, at.UnixMilli()))
		}
	}
	time.Sleep(3*time.Second + time.Duration(random.Int64N(int64(8*time.Second))))
	m.make(plans[0].trouble)
	for _, p := range plans {
		m.awaitStage(p.movingPool, time.Until(began.Add(p.deadline+10*time.Second)), message.StageDone, message.StageReverted)
	}
	time.Sleep(dispatchLimit + time.Second)
	for _, p := range plans {
		m.measure(t, p, began)
	}
}

// make brings the trouble about.
func (m *movingCluster) make(what trouble) {
	switch what {
	case rolloutKilled:
		m.holder(m.pools[0]).rollout.kill()
	case answersLost:
		for range 6 {
			m.fault("platform", `{"lose_answers": 3}`)
			time.Sleep(time.Second)
		}
	case platformOutage:
		m.fault("platform", `{"outage": true}`)
		time.Sleep(4 * time.Second)
		m.fault("platform", `{"outage": false}`)
	case ownerKilled:
		m.hosts[2].scheduler.kill()
		m.hosts[2].rollout.kill()
	}
}

func (m *movingCluster) measure(t *testing.T, p *plan, began time.Time) {
	m.traffic[p.name].end()
	p.status, p.judged = m.status(p.movingPool), m.isJudgedBad(p.movingPool)
	p.took = time.UnixMilli(p.status.SinceUnixMS).Sub(began)
	p.share, p.overCap = m.largestShare(p.movingPool), m.overCap(p.movingPool)
	if verdict := m.verdictTime(p.movingPool); !verdict.IsZero() {
		p.afterwards = m.lastDispatch(p.movingPool).Sub(verdict)
	}
	for _, s := range m.traffic[p.name].calls {
		if !s.whole && s.disposition == "" {
			p.cut++
		}
	}
	m.wantRunOnce(t, p.movingPool)
	t.Logf("%s | %s | %s | %s | judged bad %v | share %.3f | over the cap %d | last dispatch %v after the verdict | %.1f s | cut %d | %s",
		p.behaviour, p.kind, p.trouble, p.status.Stage, p.judged, p.share, p.overCap, p.afterwards, p.took.Seconds(), p.cut, p.status.Reason)
}

// overCap counts the placements that took the new version above the share of
// the newest stage that any holder had written by then.
func (m *movingCluster) overCap(p movingPool) (over int) {
	stages := m.find(func(h *host) *process { return h.rollout }, p, "stage")
	placed := m.find(schedulerOf, p, "placed")
	count, limit := 0, 0.0
	for i, line := range placed {
		for len(stages) > 0 && !stages[0].at.After(line.at.Add(clockSlack)) {
			limit, stages = max(limit, stages[0].Share), stages[1:]
		}
		if i >= shareWindow && placed[i-shareWindow].Version == newVersion {
			count--
		}
		if line.Version != newVersion {
			continue
		}
		if count++; float64(count) > limit*float64(min(i+1, shareWindow)+1) {
			over++
		}
	}
	return over
}

func summarize(t *testing.T, all []*plan) {
	for _, b := range []behaviour{behavesWell, badAtOnce, badLater, badUnderLoad, badRoute, badSlow} {
		set := slices.DeleteFunc(slices.Clone(all), func(p *plan) bool { return p.behaviour != b })
		done, reverted, judged, cut, over := 0, 0, 0, 0, 0
		share, afterwards := 0.0, time.Duration(0)
		for _, p := range set {
			if p.status.Stage == message.StageDone && p.status.SinceUnixMS <= p.status.DeadlineUnixMS {
				done++
			}
			if p.status.Stage == message.StageReverted {
				reverted++
			}
			if p.judged {
				judged++
				afterwards = max(afterwards, p.afterwards)
			}
			share = max(share, p.share)
			cut += p.cut
			over += p.overCap
		}
		t.Logf("SUMMARY %s: %d moves, %d done in time, %d reverted, %d judged bad, largest share %.3f, %d placements over the cap, last dispatch at most %v after the verdict, %d answers cut",
			b, len(set), done, reverted, judged, share, over, afterwards, cut)
	}
}
