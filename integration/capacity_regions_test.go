//go:build capacity

package integration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"kingcupcourse/internal/capacity"
	"kingcupcourse/internal/core"
	"kingcupcourse/internal/manifest"
)

const (
	otherRegion = core.Region("alfold")
	otherKey    = "other-sample-key"
	otherZone   = core.AvailabilityZone("alfold-a")
)

// Sends run-once requests to one pool with endpoints in two regions and
// measures how often the journal changes its owner and how many requests fail.
func TestCapacityRegions(t *testing.T) {
	var s capacity.Series
	for regions := 1; regions <= 2; regions++ {
		t.Run(fmt.Sprint(regions), func(t *testing.T) {
			c := startCluster(t, options{hosts: 4, ledgers: 4, tuneManifest: addRegion})
			if regions == 2 {
				c.moveToOtherRegion(c.hosts[2:])
			}
			c.reuseConnections()
			time.Sleep(startupSettleTime)
			before, changes := c.platformCalls(), c.ownershipChanges()
			sent, failed := c.sendLoad(20, c.alternatingCalls(regions))
			after, x := c.platformCalls(), float64(regions)
			s.Add("journal ownership changes in 10 s", x, float64(c.ownershipChanges()-changes))
			s.Add("conflicts of journal writes in 10 s", x, after.Conflicts-before.Conflicts)
			s.Add("journal reads in 10 s", x, after.Reads-before.Reads)
			s.Add("requests sent", x, float64(sent))
			s.Add("requests not served", x, float64(failed))
		})
	}
	saveSeries(t, "regions", &s)
}

// alternatingCalls returns a function that makes ledger entries of the two
// accounts in turn. With one region all belong to the account whose home
// region it is.
func (c *cluster) alternatingCalls(regions int) func() call {
	number := 0
	return func() call {
		k := postEntry(newKey())
		if number++; number%2 == 0 && regions == 2 {
			k.bearer = otherKey
		}
		return k
	}
}

// addRegion adds the other region and an account with that home region, and
// moves half of the ledgers to it.
func addRegion(m *manifest.Manifest) {
	m.Regions = append(m.Regions, manifest.Region{Name: otherRegion, AvailabilityZones: []core.AvailabilityZone{otherZone}})
	hash := sha256.Sum256([]byte(otherKey))
	m.ClientAccounts = append(m.ClientAccounts, manifest.ClientAccount{Name: "member-bank",
		KeySHA256: []string{hex.EncodeToString(hash[:])}, HomeRegion: otherRegion})
	endpoints := m.Pools[1].Endpoints
	for i := range endpoints[len(endpoints)/2:] {
		endpoints[len(endpoints)/2+i].AvailabilityZone = otherZone
	}
}

// moveToOtherRegion restarts hosts with settings for the other region.
func (c *cluster) moveToOtherRegion(hosts []*host) {
	c.t.Helper()
	for _, h := range hosts {
		for _, role := range roles {
			path := filepath.Join(c.folder, h.name+"-"+role+".json")
			text, err := os.ReadFile(path)
			if err != nil {
				c.t.Fatal(err)
			}
			var settings map[string]any
			if err := json.Unmarshal(text, &settings); err != nil {
				c.t.Fatal(err)
			}
			settings["region"], settings["availability_zone"] = otherRegion, otherZone
			c.writeJSON(path, settings)
		}
		for _, p := range []*process{h.entry, h.scheduler, h.rollout} {
			p.drain(30 * time.Second)
			p.start()
		}
		c.awaitReady(h.entryAdmin)
		c.awaitReady(h.schedulerAdmin)
	}
}

// ownershipChanges counts the changes of journal ownership in the schedulers'
// logs.
func (c *cluster) ownershipChanges() (count int) {
	for _, h := range c.hosts {
		text, _ := os.ReadFile(h.scheduler.logPath)
		count += bytes.Count(text, []byte("journal ownership changed"))
	}
	return count
}
