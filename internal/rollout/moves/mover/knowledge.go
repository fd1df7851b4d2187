package mover

import (
	"context"
	"slices"
	"time"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/canary"
	"kingcupcourse/internal/decision/move"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
)

// callTimeout limits the duration of one call to a scheduler or an endpoint.
const callTimeout = 500 * time.Millisecond

// gatherInputs collects the inputs of the next decision.
func (m *Mover) gatherInputs(ctx context.Context) move.Inputs {
	inputs := move.Inputs{Withdrawn: m.withdrawn()}
	if bad, ok := m.view.BadVersions[core.EndpointVersion{Pool: m.move.Pool, Version: m.move.ToVersion}]; ok {
		inputs.Bad = &bad
	}
	switch m.status.Stage {
	case message.StageLoading:
		inputs.Ready = m.allReady(ctx)
	case message.StageCanary, message.StageRamp, message.StageSoak:
		inputs.Evidence = m.gatherEvidence(ctx)
	}
	return inputs
}

// withdrawn reports whether the manifest in force no longer plans this move.
func (m *Mover) withdrawn() bool {
	return !slices.ContainsFunc(m.view.Manifest.Moves, func(planned manifest.Move) bool {
		return planned.Name == m.move.Name && planned.Pool == m.move.Pool &&
			planned.FromVersion == m.move.FromVersion && planned.ToVersion == m.move.ToVersion
	})
}

// gatherEvidence fetches evidence from the owner of the pool's shard in each
// region. It returns nil unless all owners have replied.
func (m *Mover) gatherEvidence(ctx context.Context) []canary.RouteEvidence {
	var all []canary.RouteEvidence
	for _, region := range m.view.Manifest.Regions {
		if !m.hasPoolIn(region) {
			continue
		}
		owners := ownership.RankSchedulers(ownership.Shard{Pool: m.move.Pool, Region: region.Name}, m.view.Members)
		if len(owners) == 0 {
			return nil
		}
		found, ok := m.fetchEvidence(ctx, owners[0].Address)
		if !ok {
			return nil
		}
		all = append(all, found...)
	}
	return all
}

func (m *Mover) hasPoolIn(region manifest.Region) bool {
	return slices.ContainsFunc(m.endpoints(""), func(e manifest.Endpoint) bool {
		return slices.Contains(region.AvailabilityZones, e.AvailabilityZone)
	})
}

func (m *Mover) fetchEvidence(ctx context.Context, address string) ([]canary.RouteEvidence, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := message.EvidenceRequest{Pool: m.move.Pool, Version: m.move.ToVersion}
	var reply message.EvidenceReply
	err := codec.Call(ctx, m.config.Client, address, message.PathEvidence, request, &reply)
	return reply.Evidence, err == nil && reply.Owner == ""
}

// endpoints returns the pool's endpoints that are configured for a version, or
// all endpoints if the version is empty.
func (m *Mover) endpoints(version core.Version) []manifest.Endpoint {
	for _, pool := range m.view.Manifest.Pools {
		if pool.Name == m.move.Pool {
			return slices.DeleteFunc(slices.Clone(pool.Endpoints), func(e manifest.Endpoint) bool {
				return version != "" && e.Version != version
			})
		}
	}
	return nil
}
