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

// versionBehavior is the behavior of the new version of a move.
type versionBehavior string

const (
	goodVersion  versionBehavior = "good"
	badAtOnce    versionBehavior = "bad at once"
	badLater     versionBehavior = "bad later"
	badUnderLoad versionBehavior = "bad under load"
	badRoute     versionBehavior = "bad on one route"
	badSlow      versionBehavior = "slow"
)

// clusterFault is the fault injected into a cluster while its moves run.
type clusterFault string

const (
	noFault        clusterFault = "none"
	rolloutKilled  clusterFault = "a rollout process killed"
	responsesLost  clusterFault = "responses to writes lost"
	platformOutage clusterFault = "platform outage of 4 s"
	ownerKilled    clusterFault = "a scheduler and a rollout process killed"
)

// moveTrial is one move of the experiment and its result.
type moveTrial struct {
	movingPool
	behavior     versionBehavior
	clusterFault clusterFault

	status               message.MoveStatus
	judgedBad            bool
	largestShare         float64
	overCap              int           // placements that raised the version's share above its cap
	dispatchAfterVerdict time.Duration // time from the verdict to the last dispatch
	duration             time.Duration
	truncated            int
}

// TestMovesExperiment runs a seeded set of moves and logs their results. It
// checks only the guarantees, such as that run-once requests run at most once.
func TestMovesExperiment(t *testing.T) {
	random := rand.New(rand.NewPCG(*movesSeed, 0))
	var all []*moveTrial
	for i := range *movesClusters {
		trials := drawTrials(random, i)
		t.Run(fmt.Sprintf("cluster-%d", i), func(t *testing.T) { runTrials(t, random, trials) })
		all = append(all, trials...)
	}
	summarizeTrials(t, all)
}

// drawTrials draws the moves of one cluster at random; two in five are to good
// versions. In the first half of the clusters most pools have model engines; in
// the second half, half of the pools have plain services. A fault is injected
// into every second cluster.
func drawTrials(random *rand.Rand, cluster int) []*moveTrial {
	faults := []clusterFault{noFault, rolloutKilled, noFault, responsesLost, noFault, platformOutage, noFault, ownerKilled}
	services := 2
	if cluster >= *movesClusters/2 {
		services = 4
	}
	var trials []*moveTrial
	for i := range movesPerCluster {
		trial := &moveTrial{clusterFault: faults[cluster%len(faults)], behavior: drawBehavior(random)}
		trial.movingPool = movingPool{name: fmt.Sprintf("pool-%d", i), kind: core.KindModel, deadline: moveDeadline,
			stepSlowdown: *movesSlowdown,
			soak:         5 * time.Second, ignoresFence: random.IntN(2) == 0}
		if i < services {
			trial.kind = core.KindService
		}
		trial.fault = faultFor(trial)
		trials = append(trials, trial)
	}
	return trials
}

func drawBehavior(random *rand.Rand) versionBehavior {
	if random.Float64() < 0.4 {
		return goodVersion
	}
	bad := []versionBehavior{badAtOnce, badLater, badUnderLoad, badRoute, badSlow}
	return bad[random.IntN(len(bad))]
}

func faultFor(trial *moveTrial) string {
	switch trial.behavior {
	case badAtOnce:
		return `{"error_rate": 1}`
	case badUnderLoad:
		return `{"fail_above_running": 1}`
	case badSlow:
		return `{"slow_factor": 5}`
	case badRoute:
		if trial.kind == core.KindService {
			return fmt.Sprintf(`{"error_rate": 1, "error_route": "/%s/file"}`, trial.name)
		}
		return `{"error_rate": 1, "error_route": "/v1/chat"}`
	}
	return ""
}

func runTrials(t *testing.T, random *rand.Rand, trials []*moveTrial) {
	var pools []movingPool
	for _, trial := range trials {
		pools = append(pools, trial.movingPool)
	}
	m := startMoves(t, pools...)
	start := time.Now()
	for _, trial := range trials {
		if trial.behavior == badLater {
			at := start.Add(5*time.Second + time.Duration(random.Int64N(int64(12*time.Second))))
			m.setFault(trial.candidateName(), fmt.Sprintf(`{"fail_after_unix_ms": %d}`, at.UnixMilli()))
		}
	}
	time.Sleep(3*time.Second + time.Duration(random.Int64N(int64(8*time.Second))))
	m.injectClusterFault(trials[0].clusterFault)
	for _, trial := range trials {
		m.awaitStage(trial.movingPool, time.Until(start.Add(trial.deadline+10*time.Second)), message.StageDone, message.StageReverted)
	}
	time.Sleep(maxDispatchDelay + time.Second)
	for _, trial := range trials {
		m.measureTrial(t, trial, start)
	}
}

// injectClusterFault injects a fault into the cluster.
func (m *movingCluster) injectClusterFault(fault clusterFault) {
	switch fault {
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

func (m *movingCluster) measureTrial(t *testing.T, trial *moveTrial, start time.Time) {
	m.traffic[trial.name].stop()
	trial.status, trial.judgedBad = m.status(trial.movingPool), m.isJudgedBad(trial.movingPool)
	trial.duration = time.UnixMilli(trial.status.SinceUnixMS).Sub(start)
	trial.largestShare, trial.overCap = m.largestShare(trial.movingPool), m.placementsOverCap(trial.movingPool)
	if verdict := m.verdictTime(trial.movingPool); !verdict.IsZero() {
		trial.dispatchAfterVerdict = m.lastDispatch(trial.movingPool).Sub(verdict)
	}
	for _, s := range m.traffic[trial.name].calls {
		if !s.complete && s.disposition == "" {
			trial.truncated++
		}
	}
	m.expectRunAtMostOnce(t, trial.movingPool)
	t.Logf("%s | %s | %s | %s | judged bad %v | share %.3f | over the cap %d | last dispatch %v after the verdict | %.1f s | truncated %d | %s",
		trial.behavior, trial.kind, trial.clusterFault, trial.status.Stage, trial.judgedBad, trial.largestShare, trial.overCap, trial.dispatchAfterVerdict, trial.duration.Seconds(), trial.truncated, trial.status.Reason)
}

// placementsOverCap counts the placements that raised the new version's share
// above the largest share of any stage written by a lease holder until then.
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

func summarizeTrials(t *testing.T, all []*moveTrial) {
	for _, b := range []versionBehavior{goodVersion, badAtOnce, badLater, badUnderLoad, badRoute, badSlow} {
		set := slices.DeleteFunc(slices.Clone(all), func(trial *moveTrial) bool { return trial.behavior != b })
		done, reverted, judgedBad, truncated, overCap := 0, 0, 0, 0, 0
		share, lastDispatch := 0.0, time.Duration(0)
		for _, trial := range set {
			if trial.status.Stage == message.StageDone && trial.status.SinceUnixMS <= trial.status.DeadlineUnixMS {
				done++
			}
			if trial.status.Stage == message.StageReverted {
				reverted++
			}
			if trial.judgedBad {
				judgedBad++
				lastDispatch = max(lastDispatch, trial.dispatchAfterVerdict)
			}
			share = max(share, trial.largestShare)
			truncated += trial.truncated
			overCap += trial.overCap
		}
		t.Logf("SUMMARY %s: %d moves, %d done in time, %d reverted, %d judged bad, largest share %.3f, %d placements over the cap, last dispatch at most %v after the verdict, %d responses truncated",
			b, len(set), done, reverted, judgedBad, share, overCap, lastDispatch, truncated)
	}
}
