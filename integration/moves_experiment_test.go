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

// versionBehavior is how the new version of a move behaves.
type versionBehavior string

const (
	goodVersion  versionBehavior = "good"
	badAtOnce    versionBehavior = "bad at once"
	badLater     versionBehavior = "bad later"
	badUnderLoad versionBehavior = "bad under load"
	badRoute     versionBehavior = "bad on one route"
	badSlow      versionBehavior = "slow"
)

// clusterFault is what happens to a cluster while its moves run.
type clusterFault string

const (
	noFault        clusterFault = "none"
	rolloutKilled  clusterFault = "a rollout process killed"
	responsesLost  clusterFault = "answers of writes lost"
	platformOutage clusterFault = "platform outage of 4 s"
	ownerKilled    clusterFault = "a scheduler and a rollout process killed"
)

// moveTrial is a move of the set and what became of it.
type moveTrial struct {
	movingPool
	behavior     versionBehavior
	clusterFault clusterFault

	status               message.MoveStatus
	judgedBad            bool
	largestShare         float64
	overCap              int           // placements that took the version over its cap
	dispatchAfterVerdict time.Duration // last dispatch after the verdict
	duration             time.Duration
	truncated            int
}

// TestMovesExperiment carries out a seeded set of moves and prints what became
// of them. It judges nothing but the promises.
func TestMovesExperiment(t *testing.T) {
	random := rand.New(rand.NewPCG(*movesSeed, 0))
	var all []*moveTrial
	for i := range *movesClusters {
		plans := drawTrials(random, i)
		t.Run(fmt.Sprintf("cluster-%d", i), func(t *testing.T) { runTrials(t, random, plans) })
		all = append(all, plans...)
	}
	summarize(t, all)
}

// drawTrials draws the moves of one cluster: two in five are good. The first
// half of the clusters has mostly model engines, the second half as many plain
// services; in every second cluster something fails.
func drawTrials(random *rand.Rand, cluster int) []*moveTrial {
	troubles := []clusterFault{noFault, rolloutKilled, noFault, responsesLost, noFault, platformOutage, noFault, ownerKilled}
	services := 2
	if cluster >= *movesClusters/2 {
		services = 4
	}
	var plans []*moveTrial
	for i := range movesPerCluster {
		p := &moveTrial{clusterFault: troubles[cluster%len(troubles)], behavior: drawBehavior(random)}
		p.movingPool = movingPool{name: fmt.Sprintf("pool-%d", i), kind: core.KindModel, deadline: moveDeadline,
			stepSlowdown: *movesSlowdown,
			soak:         5 * time.Second, ignoresFence: random.IntN(2) == 0}
		if i < services {
			p.kind = core.KindService
		}
		p.fault = faultFor(p)
		plans = append(plans, p)
	}
	return plans
}

func drawBehavior(random *rand.Rand) versionBehavior {
	if random.Float64() < 0.4 {
		return goodVersion
	}
	bad := []versionBehavior{badAtOnce, badLater, badUnderLoad, badRoute, badSlow}
	return bad[random.IntN(len(bad))]
}

func faultFor(p *moveTrial) string {
	switch p.behavior {
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

func runTrials(t *testing.T, random *rand.Rand, plans []*moveTrial) {
	var pools []movingPool
	for _, p := range plans {
		pools = append(pools, p.movingPool)
	}
	m := startMoves(t, pools...)
	began := time.Now()
	for _, p := range plans {
		if p.behavior == badLater {
			at := began.Add(5*time.Second + time.Duration(random.Int64N(int64(12*time.Second))))
			m.setFault(p.candidateName(), fmt.Sprintf(`{"fail_after_unix_ms": %d}`, at.UnixMilli()))
		}
	}
	time.Sleep(3*time.Second + time.Duration(random.Int64N(int64(8*time.Second))))
	m.injectClusterFault(plans[0].clusterFault)
	for _, p := range plans {
		m.awaitStage(p.movingPool, time.Until(began.Add(p.deadline+10*time.Second)), message.StageDone, message.StageReverted)
	}
	time.Sleep(maxDispatchDelay + time.Second)
	for _, p := range plans {
		m.measureTrial(t, p, began)
	}
}

// injectClusterFault brings the trouble about.
func (m *movingCluster) injectClusterFault(what clusterFault) {
	switch what {
	case rolloutKilled:
		m.holder(m.pools[0]).rollout.kill()
	case responsesLost:
		for range 6 {
			m.setFault("platform", `{"lose_answers": 3}`)
			time.Sleep(time.Second)
		}
	case platformOutage:
		m.setFault("platform", `{"outage": true}`)
		time.Sleep(4 * time.Second)
		m.setFault("platform", `{"outage": false}`)
	case ownerKilled:
		m.hosts[2].scheduler.kill()
		m.hosts[2].rollout.kill()
	}
}

func (m *movingCluster) measureTrial(t *testing.T, p *moveTrial, began time.Time) {
	m.traffic[p.name].stop()
	p.status, p.judgedBad = m.status(p.movingPool), m.isJudgedBad(p.movingPool)
	p.duration = time.UnixMilli(p.status.SinceUnixMS).Sub(began)
	p.largestShare, p.overCap = m.largestShare(p.movingPool), m.placementsOverCap(p.movingPool)
	if verdict := m.verdictTime(p.movingPool); !verdict.IsZero() {
		p.dispatchAfterVerdict = m.lastDispatch(p.movingPool).Sub(verdict)
	}
	for _, s := range m.traffic[p.name].calls {
		if !s.complete && s.disposition == "" {
			p.truncated++
		}
	}
	m.expectRunAtMostOnce(t, p.movingPool)
	t.Logf("%s | %s | %s | %s | judged bad %v | share %.3f | over the cap %d | last dispatch %v after the verdict | %.1f s | cut %d | %s",
		p.behavior, p.kind, p.clusterFault, p.status.Stage, p.judgedBad, p.largestShare, p.overCap, p.dispatchAfterVerdict, p.duration.Seconds(), p.truncated, p.status.Reason)
}

// placementsOverCap counts the placements that took the new version above the share of
// the newest stage that any holder had written by then.
func (m *movingCluster) placementsOverCap(p movingPool) (over int) {
	stages := m.findLogLines(func(h *host) *process { return h.rollout }, p, "stage")
	placed := m.findLogLines(schedulerOf, p, "placed")
	count, limit := 0, 0.0
	for i, line := range placed {
		for len(stages) > 0 && !stages[0].at.After(line.at.Add(maxLogDelay)) {
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

func summarize(t *testing.T, all []*moveTrial) {
	for _, b := range []versionBehavior{goodVersion, badAtOnce, badLater, badUnderLoad, badRoute, badSlow} {
		set := slices.DeleteFunc(slices.Clone(all), func(p *moveTrial) bool { return p.behavior != b })
		done, reverted, judged, cut, over := 0, 0, 0, 0, 0
		share, afterwards := 0.0, time.Duration(0)
		for _, p := range set {
			if p.status.Stage == message.StageDone && p.status.SinceUnixMS <= p.status.DeadlineUnixMS {
				done++
			}
			if p.status.Stage == message.StageReverted {
				reverted++
			}
			if p.judgedBad {
				judged++
				afterwards = max(afterwards, p.dispatchAfterVerdict)
			}
			share = max(share, p.largestShare)
			cut += p.truncated
			over += p.overCap
		}
		t.Logf("SUMMARY %s: %d moves, %d done in time, %d reverted, %d judged bad, largest share %.3f, %d placements over the cap, last dispatch at most %v after the verdict, %d answers cut",
			b, len(set), done, reverted, judged, share, over, afterwards, cut)
	}
}
