package crowd

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"kingcupcourse/internal/settings"
)

// What the configuration in force allows a caller to send.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
)

const hostConfiguration = `{"Version":1,"Routes":[
	{"Name":"read","Host":"x.example","PathPrefix":"/read/","Kind":"idempotent","Service":"ledger","MaxAttempts":2,"TimeoutMs":20000,"TargetLatencyMs":2000},
	{"Name":"large","Host":"x.example","PathPrefix":"/large/","Kind":"idempotent","Service":"ledger","MaxAttempts":1,"TimeoutMs":20000,"TargetLatencyMs":20000}],
	"Services":[{"Name":"ledger","MaxConns":4000}],
	"Limits":{"MaxHeaderBytes":%d,"MaxBodyBytes":%d,"HeaderTimeoutMs":5000,"IdleTimeoutMs":10000},
	"Tenants":[{"Name":"uni","ApiKeys":["key"],"RatePerS":0,"Burst":0}]}`

// hostSettings returns the settings of a host that listens on the addresses for callers,
// the readiness probe and other hosts.
func hostSettings(name string, store *store, addresses []string) settings.Gateway {
	return settings.Gateway{
		Host: name, Region: "r", AvailabilityZone: "a",
		Callers: addresses[0], Readiness: addresses[1], Peers: addresses[2], Store: store.url,
		LimitOverage: 0.1, LimitSlack: 1000, LimitWindowMS: 8000, RepeatShare: 0.2, RepeatBurst: 54,
		ExposeShare: 0.1, ExposeFree: 50, GraceMS: 8000,
		MemoryMB: machineMemoryKB >> 10, MaxFiles: machineFiles,
	}
}

// startHost runs a kingcup-host with one endpoint.
func startHost(t *testing.T) *target {
	t.Helper()
	store := startStore(t, map[string]string{
		"config/main": fmt.Sprintf(hostConfiguration, maxHeaderBytes, maxBodyBytes),
		"servers/i-1": fmt.Sprintf(`{"Service":"ledger","Address":%q,"Zone":"a","Version":"v1","Slots":2000,"State":"ready","born":1}`, startEndpoint(t)),
	})
	s := hostSettings("host-1", store, freeAddresses(t, 3))
	p := startProgram(t, "kingcup-host", s)
	target := &target{program: p, address: s.Callers, inner: s.Peers, ordinary: func(address string) bool {
		status, body, err := call(address, "POST", "/read/1", "hello", nil)
		return err == nil && status == http.StatusOK && body == "read 5"
	}}
	target.checkOrdinaryCaller()
	return target
}

// Guards against a host that runs out of memory on heads of legal size: a head of very
// many short lines takes many times its size once it is parsed.
func TestShortHeaderLines(t *testing.T) {
	checkCrowd(startHost(t), headCrowd, sendShortHeaderLines("/read/1"))
}

// Like TestShortHeaderLines, with lines that are legal and odd: names of other characters
// than letters, the same name again and again, values that go on in the next line.
func TestOddHeaderLines(t *testing.T) {
	checkCrowd(startHost(t), headCrowd, sendOddHeaderLines("/read/1"))
}

// Guards against heads without an end: a line that never ends, and lines that go on after
// the limit.
func TestEndlessHeads(t *testing.T) { checkCrowd(startHost(t), connectionCrowd, sendEndlessHead) }

// Guards against empty lines before a request, without an end, of which no request comes.
func TestEmptyLinesBeforeRequest(t *testing.T) {
	checkCrowd(startHost(t), connectionCrowd, sendEmptyLines)
}

// Guards against a host that runs out of memory on many bodies of legal size at once,
// which stop just short of their end.
func TestLargeBodies(t *testing.T) { checkCrowd(startHost(t), bodyCrowd, sendLargeBody("/read/1")) }

// Like TestLargeBodies, in chunks, so that the size is not known before.
func TestLargeBodiesInChunks(t *testing.T) {
	checkCrowd(startHost(t), bodyCrowd, sendBodyInChunks("/read/1"))
}

// Like TestLargeBodies, with an end that comes a byte at a time, so that the connection is
// never silent for long.
func TestLargeBodiesByteByByte(t *testing.T) {
	checkCrowd(startHost(t), bodyCrowd, sendBodyByteByByte("/read/1"))
}

// Guards against callers who ask for large answers and do not read them.
func TestUnreadAnswers(t *testing.T) {
	checkCrowd(startHost(t), readerCrowd, leaveAnswerUnread("/large/1"))
}

// A single request of the largest legal head and body must be served in calm, whatever
// its lines are.
func TestLargestLegalRequest(t *testing.T) {
	host := startHost(t)
	// The head that the client of this test writes by itself.
	const otherHeaders = 400
	body := strings.Repeat("b", maxBodyBytes)
	short := http.Header{}
	for i, size := 0, otherHeaders; size < maxHeaderBytes; i++ {
		name := fmt.Sprintf("X%x", i)
		short[name] = []string{""}
		size += len(name) + len(": \r\n")
	}
	for name, header := range map[string]http.Header{
		"short lines": short,
		"one line":    {"Long": []string{strings.Repeat("x", maxHeaderBytes-otherHeaders)}},
	} {
		status, answer, err := call(host.address, "POST", "/read/1", body, header)
		if err != nil || status != http.StatusOK || answer != fmt.Sprintf("read %d", maxBodyBytes) {
			t.Errorf("%s: got %d %.100s %v", name, status, answer, err)
		}
	}
	host.checkBounds()
}

// Guards the listener for other hosts and metrics, which a fault in the network may open
// to others, as TestEndlessHeads does that of the callers.
func TestInnerEndlessHeads(t *testing.T) {
	host := startHost(t)
	assemble(t, host.inner, connectionCrowd, sendEndlessHead)
	host.checkMetrics()
	host.checkOrdinaryCaller()
	host.checkBounds()
}

// Like TestInnerEndlessHeads, with messages of legal size that stop short of their end.
func TestInnerLargeMessages(t *testing.T) {
	host := startHost(t)
	assemble(t, host.inner, bodyCrowd, sendLargeBody("/v1/fleet/report"))
	host.checkMetrics()
	host.checkOrdinaryCaller()
	host.checkBounds()
}
