package admission

import (
	"context"
	"time"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/core"
	decision "kingcupcourse/internal/decision/admission"
	"kingcupcourse/internal/decision/ownership"
	"kingcupcourse/internal/decision/retry"
	"kingcupcourse/internal/manifest"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
)

const (
	// ringCapacity bounds the messages that wait in the duty's ring.
	ringCapacity = 1024
	// DefaultMaxRequests is the default limit of requests in progress.
	DefaultMaxRequests = 4096
)

// Config configures the duty.
type Config struct {
	Region core.Region
	// MaxRequests limits the requests in progress. Zero means
	// DefaultMaxRequests.
	MaxRequests int
	// Views delivers the newest view of the configuration and the shared state.
	Views control.Subscription
}

// Duty implements supervisor.Duty.
type Duty struct {
	config       Config
	inbox        *ring.Ring[Message]
	view         *control.View
	policy       *decision.Policy
	inProgress   map[string]*manifest.ClientAccount // by token
	rateLimiters *rateLimiters
	retryBudget  *retry.Budget
	clearedMarks *clearedMarks
	owners       map[ownership.Shard][]message.Member
}

// New returns the duty.
func New(config Config) *Duty {
	if config.MaxRequests == 0 {
		config.MaxRequests = DefaultMaxRequests
	}
	return &Duty{
		config:       config,
		inbox:        ring.New[Message]("entry_admission", ringCapacity),
		inProgress:   map[string]*manifest.ClientAccount{},
		rateLimiters: newRateLimiters(),
		retryBudget:  retry.NewBudget(),
		clearedMarks: newClearedMarks(),
	}
}

// Inbox returns the duty's ring.
func (d *Duty) Inbox() *ring.Ring[Message] { return d.inbox }

// Serve implements supervisor.Duty.
func (d *Duty) Serve(ctx context.Context) error {
	return ring.Loop(ctx, d.inbox, func(m Message) error {
		d.updateView()
		m.handle(d, time.Now())
		return nil
	})
}

// updateView applies the newest view if it has not been applied yet.
func (d *Duty) updateView() {
	view, ok := d.config.Views.TryTake()
	if !ok {
		return
	}
	if d.view == nil || d.view.ManifestVersion != view.ManifestVersion {
		d.policy = newPolicy(view.Manifest)
	}
	d.view = view
	d.owners = map[ownership.Shard][]message.Member{}
}

func newPolicy(m *manifest.Manifest) *decision.Policy {
	if m == nil {
		return nil
	}
	return decision.NewPolicy(m)
}

// rankedOwners returns the live schedulers of a shard, the owner first. It
// computes the ranking once for each view.
func (d *Duty) rankedOwners(shard ownership.Shard) []message.Member {
	ranked, ok := d.owners[shard]
	if !ok {
		ranked = ownership.RankSchedulers(shard, d.view.Members)
		d.owners[shard] = ranked
	}
	return ranked
}
