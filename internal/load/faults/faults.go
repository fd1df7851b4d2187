// Package faults injects the faults of an experiment at their planned times.
package faults

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"kingcupcourse/internal/load/experiment"
	"kingcupcourse/internal/ring"
)

const requestTimeout = 2 * time.Second

// Injector is the duty that injects the faults. They must be sorted by time.
type Injector struct {
	start      time.Time
	faults     []experiment.Fault
	standInURL string
	client     *http.Client
	log        *zap.Logger
}

// New returns an injector for the faults of an experiment that begins at the
// start time.
func New(e *experiment.Experiment, start time.Time, client *http.Client, log *zap.Logger) *Injector {
	return &Injector{start: start, faults: e.Faults, standInURL: e.StandInURL, client: client, log: log}
}

// Serve implements supervisor.Duty.
func (i *Injector) Serve(ctx context.Context) error {
	for len(i.faults) > 0 {
		fault := i.faults[0]
		due := i.start.Add(time.Duration(fault.AtMS) * time.Millisecond)
		if err := ring.Pause(ctx, time.Until(due)); err != nil {
			return err
		}
		i.faults = i.faults[1:]
		err := i.inject(ctx, fault)
		i.log.Info("fault", zap.Any("fault", fault), zap.Error(err))
	}
	<-ctx.Done()
	return ctx.Err()
}

func (i *Injector) inject(ctx context.Context, f experiment.Fault) error {
	switch {
	case f.StandIn != "":
		return i.post(ctx, i.standInURL+"/"+f.StandIn+"/admin/fault", f.Set)
	case f.KillURL != "":
		return i.post(ctx, f.KillURL, nil)
	default:
		return sendSignal(f.PIDFile, f.Signal)
	}
}

func (i *Injector) post(ctx context.Context, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "fault")
	}
	response, err := i.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "fault")
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("fault: %s answered %s", url, response.Status)
	}
	return nil
}

func sendSignal(pidFile, name string) error {
	text, err := os.ReadFile(pidFile)
	if err != nil {
		return eris.Wrap(err, "fault")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return eris.Wrap(err, "fault: "+pidFile)
	}
	signals := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM,
		"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	return syscall.Kill(pid, signals[name])
}
