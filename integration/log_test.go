package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"time"
)

// placed is a scheduler's log line about one placement.
type placed struct {
	At       time.Time `json:"ts"`
	Message  string    `json:"msg"`
	Request  string    `json:"request"`
	Endpoint string    `json:"endpoint"`
	Version  string    `json:"version"`
	// Passed is how many endpoints could have been chosen.
	Passed int `json:"passed"`
}

// placements returns what all schedulers logged about placements.
func (c *cluster) placements() []placed {
	c.t.Helper()
	var all []placed
	for _, h := range c.hosts {
		text, err := os.ReadFile(h.scheduler.log)
		if err != nil {
			c.t.Fatal(err)
		}
		lines := bufio.NewScanner(bytes.NewReader(text))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var line placed
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "placed" {
				all = append(all, line)
			}
		}
	}
	return all
}

// lastPlacement returns when the last request was placed on an endpoint.
func (c *cluster) lastPlacement(endpoint string) time.Time {
	c.t.Helper()
	var last time.Time
	for _, p := range c.placements() {
		if p.Endpoint == endpoint && p.At.After(last) {
			last = p.At
		}
	}
	return last
}

// placementsOn sums up the placements on an endpoint.
type placementsOn struct {
	count, passed int
	first, last   time.Time
}

// placementsByEndpoint sums the placements up, for a test that has failed.
func (c *cluster) placementsByEndpoint() map[string]placementsOn {
	c.t.Helper()
	sums := map[string]placementsOn{}
	for _, p := range c.placements() {
		sum := sums[p.Endpoint]
		if sum.count++; sum.count == 1 || p.At.Before(sum.first) {
			sum.first = p.At
		}
		sum.passed += p.Passed
		if p.At.After(sum.last) {
			sum.last = p.At
		}
		sums[p.Endpoint] = sum
	}
	return sums
}
