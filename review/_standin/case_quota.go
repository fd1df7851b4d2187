package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

// The case of a new tenant while the store turns away the machine that keeps the limits.
const (
	newTenant    = "sede271"
	newTenantKey = "n2ctnfzs989anu6wsjnb"
	// The limit of the new tenant, in tokens, and the bounds of the rule.
	newRate, newBurst         = 40_000, 40_000
	quotaWindow, quotaSlack   = 8 * time.Second, 140_000
	quotaOverage              = 0.1
	turnedAwayFor             = 9 * time.Second
	checkPrompt, checkOutput  = 1860, 24
	newTenantClients          = 40
	newTenantPause            = 400 * time.Millisecond
	configurationAfter        = 500 * time.Millisecond
	newTenantAfterAcknowledge = 500 * time.Millisecond
)

func playQuota(w *world) (int, error) {
	var workers []*worker
	for i := range 6 {
		workers = append(workers, &worker{id: fmt.Sprint("i-", i+1), service: modelService, slots: 11, prefill: 20 * time.Millisecond,
			gap: 10 * time.Millisecond, events: 4})
	}
	if err := w.start(configuration(3, 0), workers, 3); err != nil {
		return exitNotRun, err
	}
	stop := make(chan struct{})
	usual := &class{name: "check", method: "POST", path: "/digest/a", body: 2400, deadline: 2500 * time.Millisecond,
		prompt: checkPrompt, output: checkOutput}
	w.clients.load(usual, 4, 500*time.Millisecond, stop)
	time.Sleep(4 * time.Second)
	keeper, err := w.keeperOfLimits()
	if err != nil {
		return exitNotRun, err
	}
	w.record.line("%s keeps the limits", keeper.name)
	if w.trouble {
		keeper.entrance.turnAway()
		w.record.line("the store turns %s away", keeper.name)
	}
	from := time.Now()
	time.Sleep(configurationAfter)
	changed := configuration(7, 0)
	changed["Tenants"] = append(changed["Tenants"].([]any), map[string]any{"Name": newTenant, "ApiKeys": []string{newTenantKey},
		"Priority": 1, "Unit": "tokens", "PlainTokens": 200, "RatePerS": newRate, "Burst": newBurst})
	w.store.operatorPut("config", "main", changed)
	w.record.line("configuration 7 acknowledged, with the tenant %s, RatePerS %d, Burst %d", newTenant, newRate, newBurst)
	time.Sleep(newTenantAfterAcknowledge)
	hot := *usual
	hot.name, hot.key = "check of the new tenant", newTenantKey
	w.clients.load(&hot, newTenantClients, newTenantPause, stop)
	time.Sleep(turnedAwayFor - time.Since(from))
	if w.trouble {
		keeper.entrance.admit()
		w.record.line("the store admits %s again", keeper.name)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	w.clients.sending.Wait()
	return w.judgeQuota(hot.name, newRate, newBurst), nil
}

// keeperOfLimits returns the machine that keeps the ledger of the limits, as the logs of the
// others name it.
func (w *world) keeperOfLimits() (*host, error) {
	name := ""
	for _, h := range w.hosts {
		text, err := os.ReadFile(h.log.Name())
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(text)) {
			var entry struct {
				Message string `json:"msg"`
				Keeper  string `json:"keeper"`
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "keeper of the ledger" {
				name = entry.Keeper
			}
		}
	}
	at := slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == name })
	if at < 0 {
		return nil, fmt.Errorf("no machine keeps the limits")
	}
	return w.hosts[at], nil
}

// judgeQuota looks for a window in which more tokens of a tenant ran than its limit
// allows.
func (w *world) judgeQuota(name string, rate, burst float64) int {
	type use struct{ sent, ran time.Time }
	runs := runsByAttempt(w.workers)
	var uses []use
	answers := map[int]int{}
	for _, a := range w.clients.seen() {
		if a.Class != name {
			continue
		}
		answers[a.Status]++
		w.record.line("attempt %s at %s: sent %.3f ended %.3f status %d runs %d %s", a.ID, a.Host, a.Sent.Sub(w.began).Seconds(),
			a.Ended.Sub(w.began).Seconds(), a.Status, len(runs[a.ID]), a.Err)
		for _, r := range runs[a.ID] {
			uses = append(uses, use{a.Sent, r.Began})
		}
	}
	most := 0
	for _, first := range uses {
		count := 0
		for _, u := range uses {
			if !u.sent.Before(first.sent) && u.ran.Before(first.sent.Add(quotaWindow)) {
				count++
			}
		}
		most = max(most, count*(checkPrompt+checkOutput))
	}
	allowed := (rate*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack
	w.record.line("answers to the tenant by status: %v", answers)
	w.record.line("tokens of the tenant that ran in the worst %v: %d, allowed %.0f", quotaWindow, most, allowed)
	if float64(most) > allowed {
		return exitBroken
	}
	return exitHeld
}
