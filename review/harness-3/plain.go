package main

func plainRoute(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1200, "slo_ms": 150, "priority": 2,
		"service": service, "max_attempts": attempts, "public": false,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
}
