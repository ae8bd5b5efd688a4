#!/usr/bin/env bash
# The platform is out. Confirmations go on; then one daemon of six is killed and
# not restarted: whatever the pair, it goes on. Then a second one dies too: what
# can't go on is refused with when to come back, and goes on when the platform
# is back. No key runs twice and no false outcome is told.
source "$(dirname "$0")/../scripts/conf-lib.sh"
site 33 6 1 3
wait_confirmations
sleep 2 # until every daemon acts for its shards
phase() { # phase NAME SECONDS: a load of its own
	load_begin "$2" --callers 12 --patience 4s
	load_end
	cp "$dir/outcomes.json" "$dir/$1.json"
	sed 's/^\[//; s/\]$//' "$dir/$1.json" >>"$dir/all.txt"
	echo , >>"$dir/all.txt"
	report=$(check_outcomes "$dir/$1.json")
	echo "$1: $report"
}
held=() # keys of shards whose first is vm-3
for _ in $(seq 60); do
	held+=("$(curl -fsS -X POST "http://$(api_of 3)/v1/confirmation-keys" | grep -o '[0-9]*-[0-9a-f]*-[0-9a-f]*')")
done
ask_held() { # asks for every held key at vm-1; counts answers and the longest wait
	local key began took
	held_ran=0 held_later=0 held_unknown=0 held_wait=0
	for key in "${held[@]}"; do
		began=$(date +%s%3N)
		curl -sS -X POST -H "Content-Type: application/json" -d "{\"key\":\"$key\",\"workspace\":\"fair\",\"service\":\"sejemski-vpis\",\"body\":\"held\"}" \
			"http://$(api_of 1)/v1/confirmations" >"$dir/held.json"
		took=$(($(date +%s%3N) - began))
		[ "$took" -le "$held_wait" ] || held_wait=$took
		if grep -q '"outcome":"ran"' "$dir/held.json"; then
			held_ran=$((held_ran + 1))
		elif grep -q '"retry_after_ms":[1-9]' "$dir/held.json"; then
			held_later=$((held_later + 1))
		else
			held_unknown=$((held_unknown + 1))
		fi
	done
}
set_faults "$platform" '{"down":true}'
phase outage 4
[ "$(field "$report" ran)" = "$(field "$report" keys)" ] || { echo "proof: not all ran in the outage: $report"; exit 1; }
outage=$(field "$report" keys)
load_begin 8 --callers 12 --patience 6s
sleep 2
kill_process vm-3
load_end
cp "$dir/outcomes.json" "$dir/killed.json"
killed=$(check_outcomes "$dir/killed.json")
echo "one daemon killed: $killed"
phase one-lost 4
[ "$(field "$report" ran)" = "$(field "$report" keys)" ] || { echo "proof: not all ran with one daemon lost: $report"; exit 1; }
one=$(field "$report" keys)
kill_process vm-5
sleep 2
phase two-lost 4
two=$report
ask_held
held_two="of ${#held[@]} keys held for shards of vm-3 $held_ran ran, $held_later were refused with when to come back, $held_unknown unknown for good, longest wait $held_wait ms"
echo "$held_two"
set_faults "$platform" '{}'
sleep 4
phase back 4
ask_held
check_outcomes "$dir/back.json" >/dev/null || { echo "proof: FALSE outcomes of held keys"; exit 1; }
held_back="asked again later: $held_ran ran, $held_later to come back, $held_unknown unknown for good"
[ "$(field "$report" ran)" = "$(field "$report" keys)" ] || { echo "proof: not all ran after the outage: $report"; exit 1; }
echo "proof: platform out: $outage of $outage ran; around the kill of one daemon $(field "$killed" ran) of $(field "$killed" keys) ran, unknown $(field "$killed" unknown), longest wait $(field "$killed" max_ms) ms; after it $one of $one ran; two daemons lost: $held_two; $held_back; new keys: $(field "$two" ran) of $(field "$two" keys) ran, platform back: all ran; no key ran twice"
