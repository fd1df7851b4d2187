// Command standin plays the cases of the review: it starts hosts as separate processes, and
// is the store, the workers, the balancer and the clients for them.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is what a case plays in.
type world struct {
	folder, program string
	trouble         bool
	record          *recorder
	store           *store
	workers         []*worker
	hosts           []*host
	balancer        *balancer
	clients         *clients
	began           time.Time
}

var cases = map[string]func(*world) (int, error){"memory": playMemory, "quota": playQuota, "shards": playShards, "resume": playResume}

func main() {
	folder := flag.String("folder", "", "folder for settings and logs")
	program := flag.String("program", "target/kingcup-host", "program of the deploy file")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run1(flag.Arg(0), *folder, *program, *record))
}

func run1(name, folder, program, recordFile string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	record, err := newRecorder(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	absolute, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w := &world{folder: folder, program: absolute, trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now()}
	defer w.end()
	go w.endOnSignal()
	code, err := play(w)
	if err != nil {
		record.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	record.line("exit %d", code)
	return code
}

// endOnSignal ends the hosts and the case if the script is ended.
func (w *world) endOnSignal() {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	<-received
	w.end()
	os.Exit(exitNotRun)
}

// start starts the store, with the workers and hosts.
func (w *world) start(configuration any, workers []*worker, hosts int) (err error) {
	w.store = newStore()
	w.store.operatorPut("config", "main", configuration)
	w.workers = workers
	for _, k := range workers {
		if err := k.start(w.store); err != nil {
			return err
		}
	}
	for range hosts {
		if err := w.addHost(); err != nil {
			return err
		}
	}
	if !awaitReady(w.hosts, 15*time.Second) {
		return fmt.Errorf("the hosts do not become ready")
	}
	w.balancer = startBalancer(w.hosts)
	time.Sleep(1200 * time.Millisecond)
	w.clients = &clients{balancer: w.balancer}
	return nil
}

// addHost starts one more machine.
func (w *world) addHost() error {
	number := len(w.hosts)
	zone := []string{"zone-a", "zone-b", "zone-c"}[number%3]
	h, err := newHost(w.folder, w.program, w.store, fmt.Sprint("front-", number+1), zone)
	if err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	if err := h.start(); err != nil {
		return err
	}
	w.record.line("%s started, process %d", h.name, h.pid())
	return nil
}

func (w *world) end() {
	for _, h := range w.hosts {
		h.end()
	}
}

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

func (r *recorder) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, arguments...)
	fmt.Fprintln(r.out, text)
	_ = r.out.Flush()
}

func (r *recorder) close() {
	_ = r.out.Flush()
	_ = r.file.Close()
}
