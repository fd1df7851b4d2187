package collector

import (
	"context"
	"slices"

	"kingcupcourse/internal/ring"
)

// message is an element of the collector's ring: a sample or a query.
type message struct {
	sample Sample
	query  *query
}

// query requests all samples once there are at least minSamples, or those so
// far if minSamples is zero.
type query struct {
	minSamples int
	reply      ring.Reply[[]Sample]
}

// Collector is the duty that stores the samples of a run.
type Collector struct {
	inbox   *ring.Ring[message]
	samples []Sample
	pending []*query
}

// inboxCapacity is the number of samples that may be queued. A caller waits
// while the ring is full.
const inboxCapacity = 1024

// New returns a collector with no samples.
func New() *Collector {
	return &Collector{inbox: ring.New[message]("load_samples", inboxCapacity)}
}

// Serve implements supervisor.Duty.
func (c *Collector) Serve(ctx context.Context) error {
	return ring.Loop(ctx, c.inbox, func(m message) error {
		if m.query != nil {
			c.pending = append(c.pending, m.query)
		} else {
			c.samples = append(c.samples, m.sample)
		}
		c.answerQueries()
		return nil
	})
}

func (c *Collector) answerQueries() {
	c.pending = slices.DeleteFunc(c.pending, func(q *query) bool {
		if len(c.samples) < q.minSamples {
			return false
		}
		q.reply.Send(c.samples)
		return true
	})
}

// Add sends a sample to the collector, waiting while its ring is full. It
// returns the context's error if the context ends first.
func (c *Collector) Add(ctx context.Context, s Sample) error {
	return c.inbox.Put(ctx, message{sample: s})
}

// Samples waits until there are at least minSamples samples and returns all of
// them. It returns the context's error if the context ends first.
func (c *Collector) Samples(ctx context.Context, minSamples int) ([]Sample, error) {
	q := &query{minSamples: minSamples, reply: ring.NewReply[[]Sample]()}
	if err := c.inbox.Put(ctx, message{query: q}); err != nil {
		return nil, err
	}
	return q.reply.Wait(ctx)
}
