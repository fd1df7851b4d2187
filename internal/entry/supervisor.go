// Package entry is the process that callers reach: it lets their requests
// in, gets permission to dispatch them, and sees each answer through.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcourse/internal/control"
	"kingcupcourse/internal/entry/admission"
	"kingcupcourse/internal/entry/callers"
	"kingcupcourse/internal/entry/fallback"
	"kingcupcourse/internal/entry/peer"
	"kingcupcourse/internal/entry/reports"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/settings"
	"kingcupcourse/internal/supervisor"
)

const (
	// controlGrace bounds open calls to the control listener on stop.
	controlGrace = 2 * time.Second
	// stopMargin is how much longer than the drain a stop may take.
	stopMargin = 5 * time.Second
	// reportsStop bounds the stop of the reports, which flush first.
	reportsStop = 15 * time.Second
)

// Control is what the entry needs of the control supervisor.
type Control interface {
	// Supervisor returns the tree of the control duties.
	Supervisor() *supervisor.Supervisor
	// Subscribe returns a ring that always holds the newest view.
	Subscribe() control.Subscription
	// Report shares a fact with the other processes.
	Report(fact message.Fact) error
	// Register adds the handlers of the control listener.
	Register(mux *http.ServeMux)
	// Ready tells whether the configuration is known.
	Ready() bool
	// Leave tells the other processes that this one drains.
	Leave(ctx context.Context) error
}

// Entry is the tree of the process.
type Entry struct {
	tree     *supervisor.Supervisor
	callers  *supervisor.HTTP
	control  *supervisor.HTTP
	leaving  *departure
	upstream Control
}

// New binds the listeners and returns the tree, which is not yet running.
//
// Children, in their order: control, the control listener, reports,
// fallback, admission, the callers' listener, departure. They are stopped in
// the reverse order: departure makes the process not ready and tells the
// others; the callers' listener takes no new connection and waits for the
// requests in progress; reports flushes what has ended; control is last. A
// child that fails is restarted alone and goes on from the state it kept.
func New(s settings.Entry, c Control, log *zap.Logger) (*Entry, error) {
	drain := time.Duration(s.DrainMS) * time.Millisecond
	peers := peer.NewClient()
	let := admission.New(admission.Config{Region: s.Region, MaxRequests: s.MaxRequests, Views: c.Subscribe()})
	alone := fallback.New(fallback.Config{Fraction: s.FallbackFraction, Views: c.Subscribe()})
	told := reports.New(reports.Config{Host: s.Host, Views: c.Subscribe()}, peers, log)
	handler := callers.NewHandler(callers.Config{
		Host: s.Host, Admission: let.Inbox(), Reports: told.Inbox, Fallback: alone.Inbox(),
		Peers: peers, Tell: tell(c, log), Log: log,
	})
	callersListener, err := supervisor.Listen(s.Callers, handler, drain)
	if err != nil {
		return nil, eris.Wrap(err, "callers listener")
	}
	mux := http.NewServeMux()
	c.Register(mux)
	controlListener, err := supervisor.Listen(s.Control, mux, controlGrace)
	if err != nil {
		return nil, eris.Wrap(err, "control listener")
	}
	leaving := &departure{control: c}
	tree := supervisor.New(supervisor.Spec{Name: "entry", Children: []supervisor.Child{
		{Name: "control", Duty: c.Supervisor()},
		{Name: "control-listener", Duty: controlListener},
		{Name: "reports", Duty: told, StopTimeout: reportsStop},
		{Name: "fallback", Duty: alone},
		{Name: "admission", Duty: let},
		{Name: "callers", Duty: callersListener, StopTimeout: drain + stopMargin},
		{Name: "departure", Duty: leaving},
	}}, log)
	return &Entry{tree: tree, callers: callersListener, control: controlListener, leaving: leaving, upstream: c}, nil
}

// tell shares a fact and logs when too many are on their way.
func tell(c Control, log *zap.Logger) func(message.Fact) {
	return func(fact message.Fact) {
		if err := c.Report(fact); err != nil {
			log.Warn("fact not shared", zap.String("kind", string(fact.Kind)), zap.String("key", fact.Key), zap.Error(err))
		}
	}
}

// Supervisor returns the tree to run.
func (e *Entry) Supervisor() *supervisor.Supervisor { return e.tree }

// CallersAddress returns the bound address for callers.
func (e *Entry) CallersAddress() string { return e.callers.Address() }

// ControlAddress returns the bound address for other processes.
func (e *Entry) ControlAddress() string { return e.control.Address() }

// Ready tells whether the process wants new requests.
func (e *Entry) Ready() bool { return e.upstream.Ready() && !e.leaving.begun() }

// Collectors returns the metrics of the process's own duties.
func Collectors() []prometheus.Collector {
	var all []prometheus.Collector
	all = append(all, admission.Collectors()...)
	all = append(all, callers.Collectors()...)
	all = append(all, fallback.Collectors()...)
	return append(all, reports.Collectors()...)
}
