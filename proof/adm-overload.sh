#!/usr/bin/env bash
# The site is overloaded. Shows that every refusal is immediate and says when to retry,
# that accepted answers are complete, and that no engine runs more streams than it has
# permits.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
engine_flags=(--slots 64)
permits=4 requests=240 tokens=50 deadline_ms=3000
start_site 71 3 3 1
apply_change "s/\"permits\":16/\"permits\":$permits/g"
wait_for_shares
names=()
for i in $(seq "$requests"); do
	names+=("r-$i")
	send_in_background "r-$i" $((i % daemons + 1)) fair "$tokens" "\"deadline_ms\":$deadline_ms"
	sleep 0.02
done
wait_callers

complete=$(count_complete "$tokens" "${names[@]}")
refusals "${names[@]}" >"$dir/refusals"
at_once=$(awk '$1 < 500' "$dir/refusals" | wc -l)
refused=$(wc -l <"$dir/refusals")
hinted=$(awk '$2 > 0' "$dir/refusals" | wc -l)
peak=$(peak_running)
echo "proof: of $requests requests $complete complete and $refused refused, $hinted of these with a retry time; $at_once refused within 500 ms," \
	"p50 $(cut -d ' ' -f 1 "$dir/refusals" | quantile 50) ms, max $(cut -d ' ' -f 1 "$dir/refusals" | quantile 100) ms; at most $peak streams on an engine with $permits permits"
[ $((complete + refused)) -eq "$requests" ] && [ "$hinted" -eq "$refused" ] && [ "$peak" -le "$permits" ] &&
	[ $((at_once * 100)) -ge $((refused * 95)) ] && [ "$refused" -gt 0 ]
