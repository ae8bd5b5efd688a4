#!/usr/bin/env bash
# The platform is down. Confirmations continue, also after one daemon of six is killed
# and not restarted, whichever pair it belonged to. After a second daemon is killed,
# confirmations that cannot be served are refused with a retry time, and their shards
# are served again once the platform is available. No key runs twice and no outcome is
# wrong.
source "$(dirname "$0")/../scripts/conf-lib.sh"
start_site 33 6 1 3
wait_confirmations
sleep 2 # until every daemon serves its shards
phase() { # phase NAME SECONDS: runs and checks a separate load
	start_load "$2" --callers 12 --patience 4s
	wait_load
	cp "$dir/outcomes.json" "$dir/$1.json"
	sed 's/^\[//; s/\]$//' "$dir/$1.json" >>"$dir/all.txt"
	echo , >>"$dir/all.txt"
	report=$(check_outcomes "$dir/$1.json")
	echo "$1: $report"
}
shard_keys=() # keys of shards whose first daemon is vm-3
for _ in $(seq 60); do
	shard_keys+=("$(curl -fsS -X POST "http://$(api_address 3)/v1/confirmation-keys" | grep -o '[0-9]*-[0-9a-f]*-[0-9a-f]*')")
done
send_held_keys() { # sends a confirmation for each of shard_keys to vm-1; counts outcomes and the longest wait
	local key began duration_ms
	ran=0 retryable=0 unknown=0 longest_wait=0
	for key in "${shard_keys[@]}"; do
		began=$(date +%s%3N)
		curl -sS -X POST -H "Content-Type: application/json" -d "{\"key\":\"$key\",\"workspace\":\"fair\",\"service\":\"sejemski-vpis\",\"body\":\"held\"}" \
			"http://$(api_address 1)/v1/confirmations" >"$dir/held.json"
		duration_ms=$(($(date +%s%3N) - began))
		[ "$duration_ms" -le "$longest_wait" ] || longest_wait=$duration_ms
		if grep -q '"outcome":"ran"' "$dir/held.json"; then
			ran=$((ran + 1))
		elif grep -q '"retry_after_ms":[1-9]' "$dir/held.json"; then
			retryable=$((retryable + 1))
		else
			unknown=$((unknown + 1))
		fi
	done
}
set_faults "$platform" '{"down":true}'
phase outage 4
[ "$(field "$report" ran)" = "$(field "$report" keys)" ] || { echo "proof: not all ran during the outage: $report"; exit 1; }
outage=$(field "$report" keys)
start_load 8 --callers 12 --patience 6s
sleep 2
kill_process vm-3
wait_load
cp "$dir/outcomes.json" "$dir/killed.json"
killed=$(check_outcomes "$dir/killed.json")
echo "one daemon killed: $killed"
phase one-lost 4
[ "$(field "$report" ran)" = "$(field "$report" keys)" ] || { echo "proof: not all ran with one daemon killed: $report"; exit 1; }
one=$(field "$report" keys)
kill_process vm-5
sleep 2
phase two-lost 4
two=$report
send_held_keys
keys_two_lost="of ${#shard_keys[@]} keys of shards of vm-3 $ran ran, $retryable were refused with a retry time, $unknown ended unknown, longest wait $longest_wait ms"
echo "$keys_two_lost"
set_faults "$platform" '{}'
sleep 4
phase back 4
send_held_keys
check_outcomes "$dir/back.json" >/dev/null || { echo "proof: WRONG outcomes of keys of vm-3"; exit 1; }
keys_after_outage="retried after the outage: $ran ran, $retryable refused with a retry time, $unknown ended unknown"
[ "$(field "$report" ran)" = "$(field "$report" keys)" ] || { echo "proof: not all ran after the outage: $report"; exit 1; }
echo "proof: platform down: $outage of $outage ran; around the kill of one daemon $(field "$killed" ran) of $(field "$killed" keys) ran, unknown $(field "$killed" unknown), longest wait $(field "$killed" max_ms) ms; after it $one of $one ran; two daemons killed: $keys_two_lost; $keys_after_outage; new keys: $(field "$two" ran) of $(field "$two" keys) ran, platform available: all ran; no key ran twice"
