package main

import "fmt"

// The services of the deployment.
const (
	modelService = "kingcup-pool"
	plainService = "ledger"
)

func route(name, prefix, kind, service string, timeout, target, priority, attempts int, resumable bool) map[string]any {
	r := map[string]any{"Name": name, "Host": routesHost, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout,
		"TargetLatencyMs": target, "Priority": priority, "Service": service, "MaxAttempts": attempts, "Public": false}
	if kind == "streaming" {
		r["Sticky"], r["Resumable"], r["GapTargetMs"] = true, resumable, 200
	}
	return r
}

// configuration returns the configuration of a small deployment, with a number of routes
// beside those that are used.
func configuration(version, more int) map[string]any {
	routes := []any{
		route("draft", "/draft/", "streaming", modelService, 15000, 600, 0, 1, false),
		route("digest", "/digest/", "streaming", modelService, 12000, 250, 1, 2, true),
		route("file", "/file/", "non_idempotent", plainService, 1000, 100, 2, 1, false),
		route("look", "/look/", "idempotent", plainService, 1000, 100, 2, 2, false),
	}
	for i := range more {
		routes = append(routes, route(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/more%06d/", i), "idempotent", plainService, 1000, 100, 2, 2, false))
	}
	return map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{
			map[string]any{"Name": modelService, "HealthPath": "/healthz", "MaxConns": 360, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{"Slots": 11, "KvCacheTokens": 854660, "Stride": 6, "Models": []any{map[string]any{"Name": "m"}}}},
			map[string]any{"Name": plainService, "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{tenantKey}, "Priority": 1, "Unit": "tokens",
			"PlainTokens": 200, "RatePerS": 2000000, "Burst": 2000000}},
	}
}
