package crowd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// endpointVariable is the environment variable that makes the test binary run as an
// endpoint. Its value is an endpointSpec.
const endpointVariable = "KINGCUP_TEST_ENDPOINT"

// deadlyPart is the part of prompts that crashes these endpoints.
const deadlyPart = "dead"

// crash is how an endpoint ends when it begins to run a request with the deadly part.
type crash string

const (
	// crashAfterHead ends the process between the head of the answer and the first event.
	crashAfterHead crash = "after_head"
	// crashBeforeHead ends it before it has answered anything.
	crashBeforeHead crash = "before_head"
	// crashAfterEvent ends it after the first event.
	crashAfterEvent crash = "after_event"
	// crashPortLast resets the connections first; the port closes with the process.
	crashPortLast crash = "port_last"
)

// portDelay is how long the port stays open in crashPortLast.
const portDelay = 40 * time.Millisecond

// sendDelay lets the caller read what has been sent before the process ends.
const sendDelay = 10 * time.Millisecond

// The lines that an endpoint writes to standard output.
const (
	lineListening = "listening"
	lineDeadly    = "deadly request"
)

// endpointSpec describes an endpoint process.
type endpointSpec struct {
	// Address is where it listens. If it is empty, its parent passes the listening socket
	// on as the first extra file.
	Address string
	Crash   crash
	// SoundUntil is when the deadly part begins to crash endpoints, in Unix milliseconds.
	SoundUntil int64
}

// streamEvents is the number of events in an answer.
const streamEvents = 4

// endpointProcess serves streams until a request crashes it.
type endpointProcess struct {
	endpointSpec
	mu          sync.Mutex
	connections map[net.Conn]bool
}

// runEndpoint runs the process of an endpoint.
func runEndpoint(text string) {
	e := &endpointProcess{connections: map[net.Conn]bool{}}
	if err := json.Unmarshal([]byte(text), &e.endpointSpec); err != nil {
		panic(err)
	}
	listener, err := e.listen()
	if err != nil {
		panic(err)
	}
	fmt.Println(lineListening)
	go e.endWithParent()
	for {
		connection, err := listener.Accept()
		if err != nil {
			panic(err)
		}
		e.mu.Lock()
		e.connections[connection] = true
		e.mu.Unlock()
		go e.serve(connection)
	}
}

func (e *endpointProcess) listen() (net.Listener, error) {
	if e.Address != "" {
		return net.Listen("tcp", e.Address)
	}
	const firstExtraFile = 3
	return net.FileListener(os.NewFile(firstExtraFile, "listener"))
}

// endWithParent ends the process with the test, which holds the other end of its input.
func (e *endpointProcess) endWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}

func (e *endpointProcess) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.connections, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + r.Header.Get("Attempt-Id") +
			"\r\nResponse-Seal: sealed\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		if strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart+":") && time.Now().UnixMilli() >= e.SoundUntil {
			fmt.Println(lineDeadly)
			e.end(c, head)
		}
		if _, err := io.WriteString(c, head); err != nil {
			return
		}
		for number := range streamEvents {
			if _, err := io.WriteString(c, eventChunk(number)); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return
		}
	}
}

// end ends the process.
func (e *endpointProcess) end(c net.Conn, head string) {
	switch e.Crash {
	case crashBeforeHead:
	case crashAfterEvent:
		_, _ = io.WriteString(c, head+eventChunk(0))
		time.Sleep(sendDelay)
	case crashAfterHead, crashPortLast:
		_, _ = io.WriteString(c, head)
		time.Sleep(sendDelay)
	}
	if e.Crash == crashPortLast {
		e.mu.Lock()
		for connection := range e.connections {
			if tcp, ok := connection.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = connection.Close()
		}
		time.Sleep(portDelay)
	}
	os.Exit(1)
}

// eventChunk returns an event as a chunk of an answer.
func eventChunk(number int) string {
	event := fmt.Sprintf("id: %d\ndata: x\n\n", number)
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}
