package main

import (
	"fmt"
	"time"

	"kingcupcourse/internal/gateway/fleet"
)

// The case of a machine that is added while the store turns some machines away.
const (
	machinesBefore = 15
	// turnedAway is the number of machines that the store turns away: a third.
	turnedAway = 5
	// hotTimes and hotFor are x and for_s of hot_tenant.
	hotTimes = 7.5
	hotFor   = 6500 * time.Millisecond
	// usualShare is the share of its limit that a tenant usually asks for.
	usualShare = 1 / 1.8
	addAfter   = 500 * time.Millisecond
	hotAfter   = 2 * time.Second
)

func playShards(w *world) (int, error) {
	var workers []*worker
	for i := range 9 {
		workers = append(workers, &worker{id: fmt.Sprint("i-", i+1), service: modelService, slots: 11, prefill: 20 * time.Millisecond,
			gap: 10 * time.Millisecond, events: 4})
	}
	tenants, name := tenantsOfShards()
	first := configuration(3, 0)
	first["Tenants"] = tenants
	if err := w.start(first, workers, machinesBefore); err != nil {
		return exitNotRun, err
	}
	stop := make(chan struct{})
	check := &class{name: "check of " + name, method: "POST", path: "/digest/a", body: 2400, deadline: 2500 * time.Millisecond,
		prompt: checkPrompt, output: checkOutput}
	perSecond := usualShare * newRate / (checkPrompt + checkOutput)
	w.clients.loadAt(check, perSecond, stop)
	time.Sleep(6 * time.Second)
	from := time.Now()
	if w.trouble {
		for _, h := range w.hosts[:turnedAway] {
			h.entrance.turnAway()
		}
		w.record.line("the store turns front-1 to front-%d away", turnedAway)
	}
	time.Sleep(addAfter)
	if err := w.addHost(); err != nil {
		return exitNotRun, err
	}
	time.Sleep(hotAfter - time.Since(from))
	hotStop := make(chan struct{})
	w.record.line("%s sends %.1f times its usual", name, hotTimes)
	w.clients.loadAt(check, (hotTimes-1)*perSecond, hotStop)
	time.Sleep(hotFor)
	close(hotStop)
	w.record.line("%s sends its usual again", name)
	time.Sleep(turnedAwayFor - time.Since(from))
	if w.trouble {
		for _, h := range w.hosts[:turnedAway] {
			h.entrance.admit()
		}
		w.record.line("the store admits all machines again")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	w.clients.sending.Wait()
	return w.judgeQuota(check.name, newRate, newBurst), nil
}

// tenantsOfShards returns five tenants, of which the first one's limit is kept in the second
// shard once there are two. It sends the requests.
func tenantsOfShards() (tenants []any, first string) {
	for i := 0; len(tenants) < 5; i++ {
		name, key := fmt.Sprintf("tenant-%d", i), fmt.Sprintf("key-of-tenant-%d", i)
		if first == "" {
			if fleet.ShardOfAccount(name, 2) != 1 {
				continue
			}
			first, key = name, tenantKey
		}
		tenants = append(tenants, map[string]any{"Name": name, "ApiKeys": []string{key}, "Priority": 1, "Unit": "tokens",
			"PlainTokens": 200, "RatePerS": newRate, "Burst": newBurst})
	}
	return tenants, first
}
