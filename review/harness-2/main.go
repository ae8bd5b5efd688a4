package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns an exit status; trouble is false for the same run
// without the disruption.
var cases = map[string]func(root, record string, trouble bool) int{
	"drill":  drill,
	"joined": joined,
	"relay":  relayedReset,
	"takeup": takeUp,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE ROOT RECORD")
		os.Exit(failed)
	}
	status, ended := make(chan int, 1), make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() { status <- cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0") }()
	select {
	case code := <-status:
		os.Exit(code)
	case <-time.After(110 * time.Second):
		endProcesses()
		os.Exit(failed)
	case <-ended:
		endProcesses()
		os.Exit(failed)
	}
}

// bookingConfig is the operator's first config: four routes to a plain service.
func bookingConfig(version int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "booking.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 2000, "slo_ms": 150, "priority": 2,
			"service": "booking", "max_attempts": attempts, "public": false,
		}
	}
	plan := route("plan", "/plan/", "streaming", 5)
	plan["timeout_ms"], plan["slo_ms"], plan["gap_target_ms"], plan["resumable"] = 25000, 4500, 700, true
	return map[string]any{
		"version":  version,
		"routes":   []any{route("lease", "/lease/", "non_idempotent", 1), route("spot", "/spot/", "idempotent", 2), route("upload", "/upload/", "non_idempotent", 1), plan},
		"services": []any{map[string]any{"name": "booking", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant-1", "api_keys": []string{"key-1"}}},
	}
}
