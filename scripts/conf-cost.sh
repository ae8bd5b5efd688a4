#!/usr/bin/env bash
# Measures the cost of a confirmation in one run: by a direct call to the target, with
# pairs on an idle site and on one overloaded with drafts, and with the alternative of
# one platform write before each dispatch. The platform delays each call by PLATFORM_MS
# (default 3). Prints one line for each.
# Usage: conf-cost.sh [SECONDS]
source "$(dirname "$0")/conf-lib.sh"
seconds=${1:-10} slow=${PLATFORM_MS:-3}
booking_delay=0ms
calls() { curl -fsS "http://$platform/calls" | grep -o '"put":[0-9]*' | cut -d: -f2 || true; }
measure() { # measure NAME FLAGS...
	local name=$1 before after report
	shift
	before=$(calls)
	start_load "$seconds" --callers 8 --resend 0 --pause 20ms "$@"
	wait_load
	after=$(calls)
	report=$(check_outcomes "$dir/outcomes.json")
	echo "$name: $(field "$report" keys) calls, p50 $(field "$report" p50_ms) p99 $(field "$report" p99_ms) max $(field "$report" max_ms) ms, platform writes $((${after:-0} - ${before:-0}))"
}
start_site 36 6 2 3
wait_confirmations
set_faults "$platform" "{\"slow_ms\":$slow}"
measure direct --direct "127.$subnet.3.1:9000,127.$subnet.3.2:9000,127.$subnet.3.3:9000"
measure pairs
"$bin/vanillaroad-load" -a "$addresses" --confirmations 0 --rate 100 --long 0 --duration "$((seconds + 6))s" --deadline 8s \
	--engines "127.$subnet.2.1:8000,127.$subnet.2.2:8000" >"$dir/drafts.txt" 2>&1 &
drafts=$!
sleep 4
measure "pairs under drafts"
wait "$drafts" || true
grep -e '^summary' "$dir/drafts.txt" || tail -n 3 "$dir/drafts.txt"
for i in $(seq "$daemons"); do
	kill_and_wait "vm-$i"
	sed -i 's/"event_ring":65536/"event_ring":65536,"confirmation":{"mode":"writes"}/' "$dir/vm-$i.json"
	start_daemon "$i"
done
wait_confirmations
wait_active 1 $(seq "$daemons")
measure writes
measure direct --direct "127.$subnet.3.1:9000,127.$subnet.3.2:9000,127.$subnet.3.3:9000"
