// Package manager implements the duty that maintains one supervisor for each
// pool shard of the local region and looks up the queue ring of a shard for the
// request handlers.
package manager

import (
	"context"

	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/scheduler/inbox"
	"kingcupcourse/internal/scheduler/shards/shard"
	"kingcupcourse/internal/scheduler/shards/shard/queue"
	"kingcupcourse/internal/supervisor"
)

// Duty manages the shards. It is itself a child of the supervisor to which it
// adds them.
type Duty struct {
	config shard.Config
	inbox  *ring.Ring[inbox.ManagerMessage]
	parent *supervisor.Supervisor
	shards map[string]*shard.Shard
	log    *zap.Logger
}

// New returns a manager without shards.
func New(config shard.Config, in *ring.Ring[inbox.ManagerMessage]) *Duty {
	return &Duty{config: config, inbox: in, shards: map[string]*shard.Shard{}, log: config.Log}
}

// SetParent sets the supervisor to which shards are added. It must be called
// before Serve.
func (d *Duty) SetParent(parent *supervisor.Supervisor) { d.parent = parent }

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	return ring.Loop(ctx, d.inbox, func(m inbox.ManagerMessage) error { return d.handle(ctx, m) })
}

func (d *Duty) handle(ctx context.Context, m inbox.ManagerMessage) error {
	switch m := m.(type) {
	case inbox.FindQueue:
		d.findQueue(m)
	case inbox.NewView:
		return d.update(ctx, m.View)
	case inbox.DrainAll:
		return d.drain(ctx, m)
	}
	return nil
}

func (d *Duty) findQueue(m inbox.FindQueue) {
	s := d.shards[m.Pool]
	if s == nil {
		m.Send(nil)
		return
	}
	m.Send(s.Queue)
}

// update adds and removes shards according to the view and forwards it to
// them.
func (d *Duty) update(ctx context.Context, view *control.View) error {
	if view.Manifest == nil {
		return nil
	}
	wanted := map[string]manifest.Pool{}
	for _, pool := range view.Manifest.Pools {
		id := ownership.Shard{Pool: pool.Name, Region: d.config.Region}
		if len(queue.ShardEndpoints(view.Manifest, id)) > 0 {
			wanted[pool.Name] = pool
		}
	}
	d.removeShards(wanted)
	d.addShards(wanted)
	for _, s := range d.shards {
		s.Update(view)
		if err := s.Queue.Put(ctx, inbox.ViewChanged{View: view}); err != nil {
			return err
		}
	}
	return nil
}

func (d *Duty) removeShards(wanted map[string]manifest.Pool) {
	for name := range d.shards {
		if _, ok := wanted[name]; ok {
			continue
		}
		d.log.Info("pool shard removed", zap.String("pool", name))
		delete(d.shards, name)
		if err := d.parent.Remove(childName(name)); err != nil {
			d.log.Error("pool shard did not stop", zap.String("pool", name), zap.Error(err))
		}
	}
}

func (d *Duty) addShards(wanted map[string]manifest.Pool) {
	for name, pool := range wanted {
		if d.shards[name] != nil {
			continue
		}
		d.log.Info("pool shard added", zap.String("pool", name))
		s := shard.New(d.config, pool)
		d.shards[name] = s
		d.parent.Add(supervisor.Child{Name: childName(name), Duty: s.Supervisor()})
	}
}

// drain makes every shard refuse its waiting requests and write the pending
// records of its journal.
func (d *Duty) drain(ctx context.Context, m inbox.DrainAll) error {
	drains := make(map[*shard.Shard]inbox.Drain, len(d.shards))
	for _, s := range d.shards {
		drain := inbox.Drain{Reply: ring.NewReply[struct{}]()}
		if err := s.Queue.Put(ctx, drain); err != nil {
			return err
		}
		drains[s] = drain
	}
	for s, drain := range drains {
		if _, err := drain.Wait(ctx); err != nil {
			return err
		}
		flush := inbox.Flush{Reply: ring.NewReply[struct{}]()}
		if err := s.Journal.Put(ctx, flush); err != nil {
			return err
		}
		if _, err := flush.Wait(ctx); err != nil {
			return err
		}
	}
	m.Send(struct{}{})
	return nil
}

func childName(pool string) string { return "shard-" + pool }
