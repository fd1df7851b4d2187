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

// askTimeout bounds one question to a scheduler or an endpoint.
const askTimeout = 500 * time.Millisecond

// know gathers what the decision needs.
func (m *Mover) know(ctx context.Context) move.Inputs {
	known := move.Inputs{Withdrawn: m.withdrawn()}
	if bad, ok := m.view.BadVersions[core.EndpointVersion{Pool: m.move.Pool, Version: m.move.ToVersion}]; ok {
		known.Bad = &bad
	}
	switch m.status.Stage {
	case message.StageLoading:
		known.Ready = m.ready(ctx)
	case message.StageCanary, message.StageRamp, message.StageSoak:
		known.Evidence = m.evidence(ctx)
	}
	return known
}

// withdrawn tells whether the manifest in force no longer plans this move.
func (m *Mover) withdrawn() bool {
	return !slices.ContainsFunc(m.view.Manifest.Moves, func(planned manifest.Move) bool {
		return planned.Name == m.move.Name && planned.Pool == m.move.Pool &&
			planned.FromVersion == m.move.FromVersion && planned.ToVersion == m.move.ToVersion
	})
}

// evidence asks the owner of the pool's shard in each region. It returns nil
// unless all have answered.
func (m *Mover) evidence(ctx context.Context) []canary.RouteEvidence {
	var all []canary.RouteEvidence
	for _, region := range m.view.Manifest.Regions {
		if !m.poolIn(region) {
			continue
		}
		owners := ownership.RankSchedulers(ownership.Shard{Pool: m.move.Pool, Region: region.Name}, m.view.Members)
		if len(owners) == 0 {
			return nil
		}
		found, ok := m.ask(ctx, owners[0].Address)
		if !ok {
			return nil
		}
		all = append(all, found...)
	}
	return all
}

func (m *Mover) poolIn(region manifest.Region) bool {
	return slices.ContainsFunc(m.endpoints(""), func(e manifest.Endpoint) bool {
		return slices.Contains(region.AvailabilityZones, e.AvailabilityZone)
	})
}

func (m *Mover) ask(ctx context.Context, address string) ([]canary.RouteEvidence, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request := message.EvidenceRequest{Pool: m.move.Pool, Version: m.move.ToVersion}
	var reply message.EvidenceReply
	err := codec.Call(ctx, m.config.Client, address, message.PathEvidence, request, &reply)
	return reply.Evidence, err == nil && reply.Owner == ""
}

// endpoints returns the pool's endpoints of a version; empty for all.
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
