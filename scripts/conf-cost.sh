#!/usr/bin/env bash
# Measures what a confirmation costs, in one run: a direct call to the target,
# pairs, and the alternative of one platform write before each dispatch. The
# platform takes PLATFORM_MS before each call (default 3). Prints one line each.
# Usage: conf-cost.sh [SECONDS]
source "$(dirname "$0")/conf-lib.sh"
seconds=${1:-10} slow=${PLATFORM_MS:-3}
booking_delay=0ms
calls() { curl -fsS "http://$platform/calls" | grep -o '"put":[0-9]*' | cut -d: -f2 || true; }
measure() { # measure NAME FLAGS...
	local name=$1 before after report
	shift
	before=$(calls)
	load_begin "$seconds" --callers 8 --resend 0 --pause 20ms "$@"
	load_end
	after=$(calls)
	report=$(check_outcomes "$dir/outcomes.json")
	echo "$name: $(field "$report" keys) calls, p50 $(field "$report" p50_ms) p99 $(field "$report" p99_ms) max $(field "$report" max_ms) ms, platform writes $((${after:-0} - ${before:-0}))"
}
site 36 6 1 3
wait_confirmations
set_faults "$platform" "{\"slow_ms\":$slow}"
measure direct --direct "127.$subnet.3.1:9000,127.$subnet.3.2:9000,127.$subnet.3.3:9000"
measure pairs
"$bin/standin" confirm-load --addresses "$addresses" --duration 1s --out "$dir/warm.json"
for i in $(seq "$daemons"); do
	kill_now "vm-$i"
	sed -i 's/"event_ring":65536/"event_ring":65536,"confirmation":{"mode":"writes"}/' "$dir/vm-$i.json"
	start_daemon "$i"
done
wait_confirmations
wait_in_force 1 $(seq "$daemons")
measure writes
measure direct --direct "127.$subnet.3.1:9000,127.$subnet.3.2:9000,127.$subnet.3.3:9000"
