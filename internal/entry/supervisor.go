// Package entry is the process that callers reach: it lets their requests
// in, gets permission to dispatch them, and sees each answer through.
package entry

import (
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
	// stopMargin is how much longer than the drain a stop may take.
	stopMargin = 5 * time.Second
	// reportsStopTimeout bounds the stop of the reports, which flush first.
	reportsStopTimeout = 15 * time.Second
)

// Control is what the entry needs of the control duties.
type Control interface {
	// Subscribe returns a ring that always holds the newest view.
	Subscribe() control.Subscription
	// Report shares a fact with the other processes. It does not wait.
	Report(fact message.Fact) error
}

// Entry is the supervisor of the entry's own duties.
type Entry struct {
	*supervisor.Supervisor
	listener *supervisor.HTTP
}

// New binds the callers' listener and returns the supervisor, which is not
// yet running.
//
// Children, in their order: reports, fallback, admission, callers. They are
// stopped in the reverse order: the callers' listener takes no new
// connection and waits for the requests in progress, which still need the
// rest; reports flushes what has ended. A child that fails is restarted
// alone and goes on from the state that it kept; a restart storm is passed
// on to the root.
func New(s settings.Entry, c Control, log *zap.Logger) (*Entry, error) {
	peers := peer.NewClient()
	told := reports.New(reports.Config{Host: s.Host, Views: c.Subscribe()}, peers, log)
	alone := fallback.New(fallback.Config{Fraction: s.FallbackFraction, Views: c.Subscribe()})
	let := admission.New(admission.Config{Region: s.Region, MaxRequests: s.MaxRequests, Views: c.Subscribe()})
	handler := callers.NewHandler(callers.Config{
		Host: s.Host, Admission: let.Inbox(), Reports: told.Inbox, Fallback: alone.Inbox(),
		Schedulers: peers, PublishFact: publishFact(c, log), Log: log,
	})
	drain := time.Duration(s.DrainMS) * time.Millisecond
	listener, err := supervisor.Listen(s.Callers, handler, drain)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	tree := supervisor.New(supervisor.Spec{Name: "entry", Children: []supervisor.Child{
		{Name: "reports", Duty: told.Supervisor, StopTimeout: reportsStopTimeout},
		{Name: "fallback", Duty: alone},
		{Name: "admission", Duty: let},
		{Name: "callers", Duty: listener, StopTimeout: drain + stopMargin},
	}}, log)
	return &Entry{Supervisor: tree, listener: listener}, nil
}

// StopTimeout is how long the whole supervisor may take to stop.
func StopTimeout(s settings.Entry) time.Duration {
	return time.Duration(s.DrainMS)*time.Millisecond + stopMargin + reportsStopTimeout + 2*supervisor.DefaultStopTimeout
}

// publishFact shares a fact and logs when too many are on their way.
func publishFact(c Control, log *zap.Logger) func(message.Fact) {
	return func(fact message.Fact) {
		if err := c.Report(fact); err != nil {
			log.Warn("fact not shared", zap.String("kind", string(fact.Kind)), zap.String("key", fact.Key), zap.Error(err))
		}
	}
}

// CallersAddress returns the bound address for callers.
func (e *Entry) CallersAddress() string { return e.listener.Address() }

// Collectors returns the metrics of the entry's duties.
func Collectors() []prometheus.Collector {
	var all []prometheus.Collector
	all = append(all, admission.Collectors()...)
	all = append(all, callers.Collectors()...)
	all = append(all, fallback.Collectors()...)
	return append(all, reports.Collectors()...)
}
