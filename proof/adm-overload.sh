#!/usr/bin/env bash
# More work than the engines can do: every refused caller is told at once when
# to come back, accepted answers are whole, and no engine runs more than its
# permits.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
engine_flags=(--slots 64)
permits=4 requests=240 tokens=50 deadline_ms=3000
site 71 3 3 1
change_document "s/\"permits\":16/\"permits\":$permits/g"
settle
names=()
for i in $(seq "$requests"); do
	names+=("r-$i")
	ask_behind "r-$i" $((i % daemons + 1)) fair "$tokens" "\"deadline_ms\":$deadline_ms"
	sleep 0.02
done
wait_callers

whole=$(count_whole "$tokens" "${names[@]}")
refusals "${names[@]}" >"$dir/refusals"
at_once=$(awk '$1 < 500' "$dir/refusals" | wc -l)
refused=$(wc -l <"$dir/refusals")
hinted=$(awk '$2 > 0' "$dir/refusals" | wc -l)
peak=$(peak_running)
echo "proof: of $requests, $whole whole and $refused refused, $hinted of these told when to come back; $at_once refused within 500 ms," \
	"p50 $(cut -d ' ' -f 1 "$dir/refusals" | quantile 50) ms, max $(cut -d ' ' -f 1 "$dir/refusals" | quantile 100) ms; most running on one engine $peak of $permits permits"
[ $((whole + refused)) -eq "$requests" ] && [ "$hinted" -eq "$refused" ] && [ "$peak" -le "$permits" ] &&
	[ $((at_once * 100)) -ge $((refused * 95)) ] && [ "$refused" -gt 0 ]
