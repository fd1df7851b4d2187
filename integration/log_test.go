package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"time"
)

// placementLine is the log line of a scheduler for one placement.
type placementLine struct {
	At       time.Time `json:"ts"`
	Message  string    `json:"msg"`
	Request  string    `json:"request"`
	Endpoint string    `json:"endpoint"`
	Version  string    `json:"version"`
	// Candidates is the number of endpoints that passed all filters.
	Candidates int `json:"passed"`
}

// placements returns the placements in the logs of all schedulers.
func (c *cluster) placements() []placementLine {
	c.t.Helper()
	var all []placementLine
	for _, h := range c.hosts {
		text, err := os.ReadFile(h.scheduler.logPath)
		if err != nil {
			c.t.Fatal(err)
		}
		lines := bufio.NewScanner(bytes.NewReader(text))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var line placementLine
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "placed" {
				all = append(all, line)
			}
		}
	}
	return all
}

// lastPlacement returns the time of the last placement on an endpoint.
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

// placementSummary summarizes the placements on an endpoint.
type placementSummary struct {
	count, candidates int
	first, last       time.Time
}

// summarizePlacements returns a summary of the placements on each endpoint.
func (c *cluster) summarizePlacements() map[string]placementSummary {
	c.t.Helper()
	sums := map[string]placementSummary{}
	for _, p := range c.placements() {
		sum := sums[p.Endpoint]
		if sum.count++; sum.count == 1 || p.At.Before(sum.first) {
			sum.first = p.At
		}
		sum.candidates += p.Candidates
		if p.At.After(sum.last) {
			sum.last = p.At
		}
		sums[p.Endpoint] = sum
	}
	return sums
}
