package crowd

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// The sizes of the crowds.
const (
	// headCrowd callers send heads of legal size that cost much memory.
	headCrowd = 700
	// connectionCrowd callers keep a connection open for little.
	connectionCrowd = 1500
	// bodyCrowd callers send bodies of legal size.
	bodyCrowd = 60
	// readerCrowd callers do not read their large answers.
	readerCrowd = 450
)

// script is what one caller of a crowd sends.
type script func(caller int, c net.Conn)

func sendShortHeaderLines(path string) script {
	return sendLines(path, func(i int) string { return fmt.Sprintf("%x:\r\n", i) })
}

func sendOddHeaderLines(path string) script {
	return sendLines(path, func(i int) string { return fmt.Sprintf("!%x:a\r\n |\r\n~:\r\n", i) })
}

// sendLines sends a head of the lines. Every other caller ends it, and then does not send
// the body.
func sendLines(path string, line func(i int) string) script {
	return func(caller int, c net.Conn) {
		head := fill(requestHead("POST", path, "Content-Length: 5"), line)
		if caller%2 == 0 {
			head += "\r\n"
		}
		send(c, head)
	}
}

func sendEndlessHead(caller int, c net.Conn) {
	if !send(c, "GET /read/1 HTTP/1.1\r\nHost: x.example\r\nLong: "+strings.Repeat("x", 2*maxHeaderBytes)) || caller%3 != 0 {
		return
	}
	for i := range 64 {
		if !send(c, fmt.Sprintf("%s\r\nMore-%d: ", strings.Repeat("y", 1000), i)) {
			return
		}
	}
}

func sendEmptyLines(caller int, c net.Conn) {
	if !send(c, "\r") || caller%3 != 0 {
		return
	}
	time.Sleep(time.Second)
	for range 64 {
		if !send(c, strings.Repeat("\n\r", 500)) {
			return
		}
	}
}

func sendLargeBody(path string) script {
	return func(_ int, c net.Conn) {
		head := requestHead("POST", path, fmt.Sprintf("Content-Length: %d", maxBodyBytes)) + "\r\n"
		send(c, head+strings.Repeat("b", maxBodyBytes-1))
	}
}

func sendBodyInChunks(path string) script {
	const chunk = 64 << 10
	return func(_ int, c net.Conn) {
		if !send(c, requestHead("POST", path, "Transfer-Encoding: chunked")+"\r\n") {
			return
		}
		for range maxBodyBytes/chunk - 1 {
			if !send(c, fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("b", chunk))) {
				return
			}
		}
		send(c, fmt.Sprintf("%x\r\n%s", chunk, strings.Repeat("b", chunk-1)))
	}
}

func sendBodyByteByByte(path string) script {
	const single = 64
	return func(_ int, c net.Conn) {
		head := requestHead("POST", path, fmt.Sprintf("Content-Length: %d", maxBodyBytes)) + "\r\n"
		if !send(c, head+strings.Repeat("b", maxBodyBytes-single)) {
			return
		}
		for range single - 1 {
			time.Sleep(20 * time.Millisecond)
			if !send(c, "b") {
				return
			}
		}
	}
}

func leaveAnswerUnread(path string) script {
	return func(_ int, c net.Conn) {
		send(c, requestHead("GET", path)+"\r\n")
		time.Sleep(time.Second)
	}
}
