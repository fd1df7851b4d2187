package process

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"kingcupcourse/internal/ring"
)

const (
	// logCapacity is the largest number of lines that wait to be written,
	// about two megabytes at a few hundred bytes per line.
	logCapacity = 4096
	// logFlushTimeout is the longest time that a stop takes for writing the
	// remaining lines.
	logFlushTimeout = 500 * time.Millisecond
)

// logWriter is the duty that writes the log, so that a slow reader of the
// output never blocks another duty: lines that don't fit into the ring are
// dropped and counted.
type logWriter struct {
	lines   *ring.Ring[[]byte]
	out     io.Writer
	dropped atomic.Int64
}

func newLogWriter(out io.Writer) *logWriter {
	return &logWriter{lines: ring.New[[]byte]("process_log", logCapacity), out: out}
}

// Write implements zapcore.WriteSyncer. It never blocks and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	if w.lines.TryPut(append([]byte(nil), line...)) != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *logWriter) Sync() error { return nil }

// Serve implements supervisor.Duty. It is stopped last and then writes the
// remaining lines.
func (w *logWriter) Serve(ctx context.Context) error {
	err := ring.Loop(ctx, w.lines, w.write)
	deadline := time.Now().Add(logFlushTimeout)
	for line, ok := w.lines.TryTake(); ok && time.Now().Before(deadline); line, ok = w.lines.TryTake() {
		if writeErr := w.write(line); writeErr != nil {
			return writeErr
		}
	}
	return err
}

func (w *logWriter) write(line []byte) error {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(w.out, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	// An error is ignored: a closed output must not stop the process.
	_, _ = w.out.Write(line)
	return nil
}
