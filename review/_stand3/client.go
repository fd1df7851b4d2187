package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type kind struct {
	name, path, method   string
	once, stream, resume bool
}

type result struct {
	id       string
	kind     *kind
	host     *host
	sent     time.Time
	ended    time.Time
	status   int
	answered bool // a complete answer
	kept     bool
	note     string
	sealOK   bool
}

type record struct {
	mu      sync.Mutex
	results []*result
	broken  map[string]int
	lines   []string
}

func (r *record) fail(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken[rule]++
	if r.broken[rule] <= 15 {
		r.lines = append(r.lines, fmt.Sprintf("%s %s: ", time.Now().Format("15:04:05.000"), rule)+fmt.Sprintf(format, args...))
	}
}

var ids atomic.Int64

type client struct {
	key  string
	http *http.Client
	rec  *record
}

func newClient(key string, rec *record) *client {
	return &client{key: key, rec: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// call sends one request and checks its answer.
func (c *client) call(h *host, k *kind, deadline time.Duration) *result {
	res := &result{id: fmt.Sprintf("a%07d%04x", ids.Add(1), rand.Intn(65536)), kind: k, host: h, sent: time.Now()}
	defer func() {
		res.ended = time.Now()
		c.rec.mu.Lock()
		c.rec.results = append(c.rec.results, res)
		c.rec.mu.Unlock()
	}()
	var body io.Reader
	if k.method == "POST" {
		text := bodyFor("req"+res.id, int(num("BODY", 100))+rand.Intn(500))
		body = strings.NewReader(text)
		if rand.Intn(3) == 0 {
			body = io.MultiReader(strings.NewReader(text)) // in chunks
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { res.kept = i.Reused }})
	r, err := http.NewRequestWithContext(ctx, k.method, "http://"+h.front+k.path+res.id+"?q="+res.id, body)
	check(err)
	r.GetBody = nil
	r.Host = "site.example"
	r.Header.Set("Attempt-Id", res.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+c.key)
	if k.stream {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Counts", "50,20")
	}
	response, err := c.http.Do(r)
	if err != nil {
		res.note = err.Error()
		return res
	}
	defer response.Body.Close()
	res.status = response.StatusCode
	res.sealOK = response.Header.Get("Response-Seal") == seal(res.id)
	if response.StatusCode == 200 && !res.sealOK {
		c.rec.fail("MIXED", "%s: 200 with seal %q", res.id, response.Header.Get("Response-Seal"))
	}
	if id := response.Header.Get("Attempt-Id"); id != "" && id != res.id {
		c.rec.fail("MIXED", "%s: answer of %s", res.id, id)
	}
	if k.stream && response.StatusCode == 200 {
		c.events(response.Body, res)
		return res
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		res.note = err.Error()
		return res
	}
	res.answered = true
	if response.StatusCode == 200 && string(text) != bodyFor(res.id, sizeFor(res.id)) {
		c.rec.fail("MIXED", "%s: wrong body of %d bytes, want %d", res.id, len(text), sizeFor(res.id))
	}
	return res
}

func (c *client) events(from io.Reader, res *result) {
	reader, next := bufio.NewReader(from), 1
	for {
		var e string
		for !strings.HasSuffix(e, "\n\n") {
			line, err := reader.ReadString('\n')
			e += line
			if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				res.answered = true
				if e != "" || next != eventsFor(res.id)+1 {
					c.rec.fail("ORDER", "%s: ends as complete after event %d of %d, rest %q", res.id, next-1, eventsFor(res.id), e)
				}
				return
			}
			if err != nil {
				res.note = err.Error()
				return
			}
		}
		want := fmt.Sprintf("id: %d\ndata: %s\n\n", next, bodyFor(fmt.Sprint(res.id, next), 40))
		if e != want {
			c.rec.fail("ORDER", "%s: event %q instead of %d", res.id, e, next)
			return
		}
		next++
	}
}
