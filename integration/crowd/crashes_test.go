package crowd

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	crashHosts = 3
	// crashEndpoints is how many endpoints there are unless the case gives a number.
	crashEndpoints = 12
	// settleTime is how long after the third crash the hosts may take to refuse the part.
	settleTime = 3 * time.Second
	// maxLateTries is how many requests with the part may reach endpoints afterwards.
	maxLateTries = 3
	// lateTime is for how long they are counted.
	lateTime = 5 * time.Second
	// crashTimeout is how long the third crash may take.
	crashTimeout = 10 * time.Second
	// requestPeriod is the time between two requests with the part.
	requestPeriod = 40 * time.Millisecond
)

const crashConfiguration = `{"Version":1,"Routes":[
	{"Name":"draft","Host":"x.example","PathPrefix":"/draft/","Kind":"streaming","Service":"pool","MaxAttempts":1,"TimeoutMs":4000,"TargetLatencyMs":600}],
	"Services":[{"Name":"pool","MaxConns":400}],
	"Limits":{"MaxHeaderBytes":4096,"MaxBodyBytes":2000,"HeaderTimeoutMs":5000,"IdleTimeoutMs":10000},
	"Tenants":[{"Name":"uni","ApiKeys":["key"],"RatePerS":0,"Burst":0}]}`

// crashCase is a kind of crash and restart.
type crashCase struct {
	crash crash
	// endpoints is the number of endpoints, zero for crashEndpoints.
	endpoints int
	// downtime is how long an endpoint is away.
	downtime time.Duration
	// keepsName starts an endpoint again under its name. supervised leaves its port open,
	// as a supervisor that passes on the listening socket does.
	keepsName, supervised bool
	// soundFor is how long requests with the part are answered before they crash endpoints.
	soundFor time.Duration
}

// crashFleet is a fleet of hosts and of endpoints that are started again when they end.
type crashFleet struct {
	t     *testing.T
	kind  crashCase
	store *store
	hosts []*target
	done  chan struct{}

	mu sync.Mutex
	// tries and crashes are when requests with the part reached endpoints, and when
	// endpoints ended.
	tries, crashes []time.Time
	// sound counts the requests without the part by what became of them.
	sound map[string]int
}

func newCrashFleet(t *testing.T, kind crashCase) *crashFleet {
	t.Helper()
	f := &crashFleet{t: t, kind: kind, done: make(chan struct{}), sound: map[string]int{},
		store: startStore(t, map[string]string{"config/main": crashConfiguration})}
	soundUntil := time.Now().Add(kind.soundFor).UnixMilli()
	var running sync.WaitGroup
	t.Cleanup(func() { close(f.done); running.Wait() })
	for i, address := range freeAddresses(t, cmp.Or(kind.endpoints, crashEndpoints)) {
		running.Go(func() { f.runEndpoints(i, address, soundUntil) })
	}
	for i := range crashHosts {
		s := hostSettings(fmt.Sprint("host-", i), f.store, freeAddresses(t, 3))
		f.hosts = append(f.hosts, &target{program: startProgram(t, "kingcup-host", s), address: s.Callers, inner: s.Readiness})
	}
	f.awaitReady()
	return f
}

// awaitReady waits until all hosts are ready.
func (f *crashFleet) awaitReady() {
	f.t.Helper()
	for _, h := range f.hosts {
		for deadline := time.Now().Add(crashTimeout); ; time.Sleep(20 * time.Millisecond) {
			if status, _, err := call(h.inner, "GET", "/kingcupcourse/readyz", "", nil); err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				f.t.Fatalf("%s is not ready", h.address)
			}
		}
	}
}

// runEndpoints runs the endpoint processes at an address, one after the other.
func (f *crashFleet) runEndpoints(number int, address string, soundUntil int64) {
	var listener *net.TCPListener
	spec := endpointSpec{Address: address, Crash: f.kind.crash, SoundUntil: soundUntil}
	if f.kind.supervised {
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			f.t.Error(err)
			return
		}
		defer func() { _ = tcp.Close() }()
		listener, spec.Address = tcp.(*net.TCPListener), ""
	}
	for incarnation := 1; ; incarnation++ {
		name := fmt.Sprintf("i-%d", number)
		if !f.kind.keepsName {
			name = fmt.Sprintf("i-%d-%d", number, incarnation)
		}
		f.runEndpoint(name, address, spec, listener)
		select {
		case <-f.done:
			return
		case <-time.After(f.kind.downtime):
		}
		if !f.kind.keepsName {
			f.store.remove("servers/" + name)
		}
	}
}

// runEndpoint runs an endpoint process until it ends, or the test does.
func (f *crashFleet) runEndpoint(name, address string, spec endpointSpec, listener *net.TCPListener) {
	text, err := json.Marshal(spec)
	if err != nil {
		f.t.Error(err)
		return
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env, cmd.Stderr = append(os.Environ(), endpointVariable+"="+string(text)), os.Stderr
	if listener != nil {
		file, err := listener.File()
		if err != nil {
			f.t.Error(err)
			return
		}
		defer func() { _ = file.Close() }()
		cmd.ExtraFiles = []*os.File{file}
	}
	input, inputErr := cmd.StdinPipe()
	output, outputErr := cmd.StdoutPipe()
	if inputErr != nil || outputErr != nil || cmd.Start() != nil {
		f.t.Error("an endpoint cannot be started")
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for lines := bufio.NewScanner(output); lines.Scan(); {
			f.readLine(lines.Text(), name, address)
		}
		_ = cmd.Wait() // endpoints end with an error
	}()
	select {
	case <-f.done:
		_ = input.Close()
		<-ended
	case <-ended:
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		f.mu.Unlock()
	}
}

func (f *crashFleet) readLine(line, name, address string) {
	switch line {
	case lineListening:
		f.store.put("servers/"+name, fmt.Sprintf(`{"Service":"pool","Address":%q,"Zone":"a","Version":"v1","Slots":8,"State":"ready","born":%d}`,
			address, time.Now().UnixMilli()))
	case lineDeadly:
		f.mu.Lock()
		f.tries = append(f.tries, time.Now())
		f.mu.Unlock()
	}
}

// thirdCrash returns when the third endpoint ended, zero before.
func (f *crashFleet) thirdCrash() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 3 {
		return time.Time{}
	}
	return f.crashes[2]
}

// sendUntil sends requests with the part to the hosts in turn, each beside two without it,
// as long as the condition holds.
func (f *crashFleet) sendUntil(ended func() bool) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for i := 0; !ended(); i++ {
		topic := fmt.Sprint("topic", i%2)
		sending.Go(func() { f.send(i, topic+":60,"+deadlyPart+":500,own%d:100") })
		sending.Go(func() { f.recordSound(f.send(i+1, topic+":60,fine%d:500,own:100")) })
		sending.Go(func() { f.recordSound(f.send(i+2, topic+":60,own%d:100")) })
		time.Sleep(requestPeriod)
	}
}

// send sends a request to one of the hosts and returns what became of it. The prompt's
// parts may hold a number.
func (f *crashFleet) send(number int, parts string) string {
	if strings.Contains(parts, "%d") {
		parts = fmt.Sprintf(parts, number)
	}
	status, body, err := call(f.hosts[number%len(f.hosts)].address, "POST", "/draft/1", parts,
		http.Header{"Prompt-Prefix": []string{parts}})
	switch {
	case err != nil:
		return "broken off"
	case status != http.StatusOK:
		reason, _, _ := strings.Cut(body, ":")
		return fmt.Sprint(status, " ", reason)
	}
	return "answered"
}

func (f *crashFleet) recordSound(result string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sound[result]++
}

// sendThroughCrashes sends requests until they may not reach endpoints any more.
func (f *crashFleet) sendThroughCrashes() {
	f.t.Helper()
	giveUp := time.Now().Add(f.kind.soundFor + crashTimeout)
	f.sendUntil(func() bool {
		third := f.thirdCrash()
		return !third.IsZero() && time.Since(third) > settleTime || time.Now().After(giveUp)
	})
	if f.thirdCrash().IsZero() {
		f.t.Fatal("fewer than three endpoints have ended")
	}
}

// sendLate sends requests that may not reach endpoints any more.
func (f *crashFleet) sendLate() {
	end := time.Now().Add(lateTime)
	f.sendUntil(func() bool { return time.Now().After(end) })
}

// check checks that hardly a request with the part has reached an endpoint after the hosts
// could know it, and that no other request was taken for one of these.
func (f *crashFleet) check() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	late := 0
	for _, at := range f.tries {
		if at.Sub(f.crashes[2]) > settleTime {
			late++
		}
	}
	f.t.Logf("%d crashes, %d requests with the part reached endpoints, %d of them late; the others: %v", len(f.crashes), len(f.tries), late, f.sound)
	if late > maxLateTries {
		f.t.Errorf("%d requests with the part reached endpoints later than %v after the third crash, want at most %d", late, settleTime, maxLateTries)
	}
	for result, count := range f.sound {
		if strings.Contains(result, "poison") {
			f.t.Errorf("%d requests without the part were refused as %q", count, result)
		}
	}
	if f.sound["answered"] == 0 {
		f.t.Error("no request without the part was answered")
	}
}

// Guards against requests with a part of their prompts that crashes endpoints being passed
// on without an end, since the hosts take the endpoints for alive or clear the part.
func TestCrashingPartIsRefusedHoweverEndpointsEnd(t *testing.T) {
	for name, kind := range map[string]crashCase{
		"after the head":          {crash: crashAfterHead, downtime: time.Second},
		"before the head":         {crash: crashBeforeHead, downtime: time.Second},
		"after the first event":   {crash: crashAfterEvent, downtime: time.Second},
		"port closed last":        {crash: crashPortLast, downtime: time.Second},
		"port kept open":          {crash: crashAfterHead, supervised: true},
		"under the same name":     {crash: crashAfterHead, downtime: 200 * time.Millisecond, keepsName: true, endpoints: 2},
		"answered shortly before": {crash: crashAfterHead, downtime: time.Second, soundFor: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, kind)
			f.sendThroughCrashes()
			f.sendLate()
			f.check()
		})
	}
}

// Guards against hosts that pass on requests with a part known to crash endpoints, since
// they or the host that keeps the list of such parts have been started again.
func TestCrashingPartStaysRefusedWhenHostsRestart(t *testing.T) {
	for name, rounds := range map[string][][]int{
		"all at once":  {{0, 1, 2}},
		"in two parts": {{0, 1}, {2}, {0, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, crashCase{crash: crashAfterHead, downtime: time.Second})
			f.sendThroughCrashes()
			for _, round := range rounds {
				for _, number := range round {
					f.hosts[number].kill()
				}
				for _, number := range round {
					f.hosts[number].start()
				}
				f.awaitReady()
				f.sendLate()
			}
			f.check()
		})
	}
}
