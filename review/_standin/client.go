package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	tenantKey  = "i9n73hh2b9wu3fexd9dn"
	routesHost = "desk.example"
)

// class is a kind of request.
type class struct {
	name, method, path string
	body               int
	deadline           time.Duration
	// prompt and output are token counts, zero for a plain service.
	prompt, output int
	// key is the key of the tenant, that of the first one if it is empty.
	key string
}

// attempt is what a client has seen of one attempt.
type attempt struct {
	ID, Class, Host string
	Sent, Ended     time.Time
	// Kept reports that the connection had carried a request before.
	Kept bool
	// Status is zero if no answer began, Whole reports that it came whole.
	Status int
	Sealed bool
	Whole  bool
	Err    string
	Body   string
}

// clients sends requests of the classes.
type clients struct {
	balancer *balancer
	mu       sync.Mutex
	attempts []*attempt
	sending  sync.WaitGroup
}

// client is one client with one kept connection.
type client struct {
	all       *clients
	number    int
	transport *http.Transport
	host      *host
}

func (all *clients) newClient(number int) *client { return &client{all: all, number: number} }

// connect chooses a machine for the next connection.
func (c *client) connect() {
	c.host = c.all.balancer.pick(c.number)
	c.transport = &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}
}

// send sends one attempt, and waits for its answer until its deadline.
func (c *client) send(ctx context.Context, k *class) *attempt {
	if c.transport == nil {
		c.connect()
	}
	a := &attempt{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: k.name, Host: c.host.name, Sent: time.Now()}
	c.all.mu.Lock()
	c.all.attempts = append(c.all.attempts, a)
	c.all.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, k.deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.Kept = info.Reused }})
	r, err := http.NewRequestWithContext(ctx, k.method, "http://"+c.host.front+k.path, bytes.NewReader(bytes.Repeat([]byte("b"), k.body)))
	if err != nil {
		panic(err)
	}
	r.GetBody = nil
	r.Host = routesHost
	r.Header.Set("Attempt-Id", a.ID)
	r.Header.Set("Authorization", "Bearer "+cmp.Or(k.key, tenantKey))
	r.Header.Set("Deadline-Ms", strconv.FormatInt(k.deadline.Milliseconds(), 10))
	if k.prompt > 0 {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", k.prompt, k.output))
		r.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:60,%s:%d", a.ID[:8], k.prompt-60))
	}
	response, err := c.transport.RoundTrip(r)
	if err == nil {
		a.Status, a.Sealed = response.StatusCode, response.Header.Get("Response-Seal") != ""
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.Whole, a.Body = err == nil, string(body)
		if response.Close {
			c.forget()
		}
	}
	a.Ended = time.Now()
	if err != nil {
		a.Err = strings.ReplaceAll(err.Error(), "\n", " ")
		c.forget()
	}
	return a
}

// forget closes the connection; the next attempt opens a new one.
func (c *client) forget() {
	if c.transport != nil {
		c.transport.CloseIdleConnections()
		c.transport = nil
	}
}

// load sends requests of a class from a number of clients until stop is closed. Each client
// waits for its answer and then for the pause.
func (all *clients) load(k *class, count int, pause time.Duration, stop chan struct{}) {
	for i := range count {
		all.sending.Go(func() {
			c := all.newClient(i)
			defer c.forget()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
				}
				c.send(context.Background(), k)
			}
		})
	}
}

// loadAt sends requests of a class at a mean rate until stop is closed. Each request takes a
// client that waits for no answer, or a new one.
func (all *clients) loadAt(k *class, perSecond float64, stop chan struct{}) {
	idle := make(chan *client, 4096)
	all.sending.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			var c *client
			select {
			case c = <-idle:
			default:
				c = all.newClient(number)
			}
			all.sending.Go(func() {
				c.send(context.Background(), k)
				idle <- c
			})
		}
	})
}

// seen returns the attempts so far.
func (all *clients) seen() []attempt {
	all.mu.Lock()
	defer all.mu.Unlock()
	copied := make([]attempt, 0, len(all.attempts))
	for _, a := range all.attempts {
		copied = append(copied, *a)
	}
	return copied
}
