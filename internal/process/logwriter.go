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
	// logCapacity bounds the lines that wait to be written. At a few hundred
	// bytes a line it holds about two megabytes.
	logCapacity = 4096
	// logFlushTimeout bounds how long a stop waits for the last lines.
	logFlushTimeout = 500 * time.Millisecond
)

// logWriter is the duty that writes the log, so that a slow reader of the
// output never holds up another duty: lines for which the ring has no room are
// dropped and counted.
type logWriter struct {
	lines   *ring.Ring[[]byte]
	out     io.Writer
	dropped atomic.Int64
}

func newLogWriter(out io.Writer) *logWriter {
	return &logWriter{lines: ring.New[[]byte]("process_log", logCapacity), out: out}
}

// Write implements zapcore.WriteSyncer. It never waits and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	if w.lines.TryPut(append([]byte(nil), line...)) != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *logWriter) Sync() error { return nil }

// Serve implements supervisor.Duty. It is stopped last and then writes what
// still waits.
func (w *logWriter) Serve(ctx context.Context) error {
	err := ring.Loop(ctx, w.lines, w.write)
	until := time.Now().Add(logFlushTimeout)
	for line, ok := w.lines.TryTake(); ok && time.Now().Before(until); line, ok = w.lines.TryTake() {
		if failed := w.write(line); failed != nil {
			return failed
		}
	}
	return err
}

func (w *logWriter) write(line []byte) error {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(w.out, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", dropped)
	}
	// A reader that has closed the output must not stop the process.
	_, _ = w.out.Write(line)
	return nil
}
