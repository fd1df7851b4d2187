// Package entry is the process that serves callers: it admits their requests,
// obtains permission to dispatch them and relays the responses.
package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcourse/internal/budget"
	"kingcupcourse/internal/control"
	decision "kingcupcourse/internal/decision/budget"
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
	// stopMargin is added to the drain time for the stop of the listener.
	stopMargin = 5 * time.Second
	// reportsStopTimeout bounds the stop of the reports supervisor, which
	// flushes first.
	reportsStopTimeout = 15 * time.Second
)

// Control is the part of the control duties that the entry uses.
type Control interface {
	// Subscribe returns a ring that always holds the newest view.
	Subscribe() control.Subscription
	// Report shares a fact with the other processes. It does not block.
	Report(fact message.Fact) error
}

// Entry is the supervisor of the entry's own duties.
type Entry struct {
	*supervisor.Supervisor
	listener *supervisor.HTTP
}

// New binds the callers' listener and returns the supervisor, which is not
// running yet.
//
// The children start in this order: callers-budget, reports, fallback, admission, callers.
// They stop in reverse: the callers' listener accepts no new connections and
// waits for the requests in progress, which still need the other duties;
// reports flushes the remaining outcomes last. A failed child is restarted
// alone and keeps its state; a restart storm is escalated to the root.
func New(s settings.Entry, c Control, log *zap.Logger) (*Entry, error) {
	peers := peer.NewClient()
	reporting := reports.New(reports.Config{Host: s.Host, Views: c.Subscribe()}, peers, log)
	fallbackDuty := fallback.New(fallback.Config{Host: s.Host, Fraction: s.FallbackFraction, Views: c.Subscribe()})
	admissionDuty := admission.New(admission.Config{Region: s.Region, MaxRequests: s.MaxRequests.Int(), Views: c.Subscribe()})
	handler := callers.NewHandler(callers.Config{
		Host: s.Host, Admission: admissionDuty.Inbox(), Reports: reporting.Inbox, Fallback: fallbackDuty.Inbox(),
		Schedulers: peers, PublishFact: publishFact(c, log), Log: log,
	})
	drain := s.DrainMS.Duration()
	callersBudget := budget.New("callers", decision.LimitsFor(s.MemoryMB.Bytes(), s.MaxFiles.Int()), log)
	listener, err := supervisor.Listen(s.Callers, budget.Handler(handler), drain)
	if err != nil {
		return nil, eris.Wrap(err, "listen for callers")
	}
	listener.WrapConnections(callersBudget.Accept)
	tree := supervisor.New(supervisor.Spec{Name: "entry", Children: []supervisor.Child{
		{Name: "callers-budget", Duty: callersBudget},
		{Name: "reports", Duty: reporting.Supervisor, StopTimeout: reportsStopTimeout},
		{Name: "fallback", Duty: fallbackDuty},
		{Name: "admission", Duty: admissionDuty},
		{Name: "callers", Duty: listener, StopTimeout: drain + stopMargin},
	}}, log)
	return &Entry{Supervisor: tree, listener: listener}, nil
}

// StopTimeout returns how long the whole supervisor may take to stop.
func StopTimeout(s settings.Entry) time.Duration {
	return s.DrainMS.Duration() + stopMargin + reportsStopTimeout + 2*supervisor.DefaultStopTimeout
}

// publishFact returns a function that shares a fact and logs a warning if the
// fact can't be queued.
func publishFact(c Control, log *zap.Logger) func(message.Fact) {
	return func(fact message.Fact) {
		if err := c.Report(fact); err != nil {
			log.Warn("fact not shared", zap.String("kind", string(fact.Kind)), zap.String("key", fact.Key), zap.Error(err))
		}
	}
}

// CallersAddress returns the bound address of the callers' listener.
func (e *Entry) CallersAddress() string { return e.listener.Address() }

// Collectors returns the metrics of the entry's duties.
func Collectors() []prometheus.Collector {
	var collectors []prometheus.Collector
	collectors = append(collectors, admission.Collectors()...)
	collectors = append(collectors, callers.Collectors()...)
	collectors = append(collectors, fallback.Collectors()...)
	return append(collectors, reports.Collectors()...)
}
