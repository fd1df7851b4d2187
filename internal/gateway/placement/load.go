package placement

import (
	"syscall"
	"time"

	"go.uber.org/zap"
)

// load is the work that the duty did for other hosts since the last load line.
type load struct {
	// requests counts placement requests, updates the messages of updates.
	requests, updates int
	// longestWait is the longest time that a placement request waited in the ring.
	longestWait time.Duration
	// busy is the time spent on all messages, those of this host included.
	busy time.Duration
	// processorTime is the processor time of the process at the last line.
	processorTime time.Duration
}

// logLoad logs the work done for other hosts, if there was any. The time that the
// process was busy tells whether its processor, this duty or the network delays
// the answers.
func (d *Duty) logLoad() {
	processorTime := d.processorTime()
	if d.load.requests > 0 || d.load.updates > 0 {
		d.log.Info("placement load", zap.Int("requests", d.load.requests), zap.Int("updates", d.load.updates),
			zap.Duration("longest_wait", d.load.longestWait), zap.Duration("busy", d.load.busy),
			zap.Duration("processor", processorTime-d.load.processorTime), zap.Int("attempts", d.attempts.Len()))
	}
	d.load = load{processorTime: processorTime}
}

// processorTime returns the processor time that the process has used.
func (d *Duty) processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		d.log.Warn("reading the processor time failed", zap.Error(err))
		return d.load.processorTime
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
