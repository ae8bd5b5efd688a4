#!/usr/bin/env bash
# The share of the new system changes from 0 to 50 to 100 percent. Shows that at 0 and
# 100 percent one system gets all requests, and that a step moves requests only from
# the old system to the new one.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
daemon_settings='"membership":{"directory_ttl":"1s"},"generation":{"retention":"1s"}'
start_site 74 3 4 1
apply_change 's/"name":"engine-\([12]\)"/"name":"engine-\1","system":"old"/g' 's/"new_share":100/"new_share":0/'
wait_for_shares
requests=120
run_round() { # run_round NAME: sends every request under its key and records which system ran it
	local i
	names=()
	for i in $(seq "$requests"); do
		names+=("key-$i")
		send_in_background "key-$i" $((i % daemons + 1)) fair 1
		[ $((i % 20)) -eq 0 ] && wait_callers
	done
	wait_callers
	[ "$(count_complete 1 "${names[@]}")" -eq "$requests" ] || { echo "round $1: answers missing"; exit 1; }
	for i in $(seq "$daemons"); do
		curl -fsS "http://$(api_address "$i")/v1/events" | grep -o '"name":"attempt_started","request":"key-[0-9]*","fields":{[^}]*}'
	done | sed 's/.*"request":"\(key-[0-9]*\)".*"target":"engine-\([0-9]\)".*/\1 \2/' >"$dir/all-$1"
	awk '{ side[$1] = $2 <= 2 ? "old" : "new" } END { for (k in side) print k, side[k] }' "$dir/all-$1" | sort >"$dir/sides-$1"
}
# Daemons retain an answer under its id for 1 s. Waiting longer makes each round start
# without retained answers.
wait_for_expiry() { sleep 4; }
run_round zero
wait_for_expiry
apply_change 's/"new_share":0/"new_share":50/'
run_round fifty
wait_for_expiry
run_round again
wait_for_expiry
apply_change 's/"new_share":50/"new_share":100/'
run_round hundred
count_on_new() { grep -c ' new$' "$dir/sides-$1" || true; }
count_moved_back() { join "$dir/sides-$1" "$dir/sides-$2" | awk '$2 == "new" && $3 == "old"' | wc -l; }
changed=$(join "$dir/sides-fifty" "$dir/sides-again" | awk '$2 != $3' | wc -l)
back=$(($(count_moved_back zero fifty) + $(count_moved_back again hundred)))
echo "proof: of $requests requests on the new system: $(count_on_new zero) at 0 %, $(count_on_new fifty) at 50 %, $(count_on_new hundred) at 100 %; moved while the share stayed the same: $changed; moved back to the old system: $back"
[ "$(count_on_new zero)" -eq 0 ] && [ "$(count_on_new hundred)" -eq "$requests" ] && [ "$changed" -eq 0 ] && [ "$back" -eq 0 ] &&
	[ "$(count_on_new fifty)" -gt $((requests * 3 / 10)) ] && [ "$(count_on_new fifty)" -lt $((requests * 7 / 10)) ]
