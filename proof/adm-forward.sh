#!/usr/bin/env bash
# Ten daemons before one engine with four permits: four of them share its
# permits, the others get theirs from these. Every daemon serves, and the engine
# never runs more than its permits.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
engine_flags=(--slots 64)
permits=4 requests=100 tokens=10
site 77 10 1 1
change_document "s/\"permits\":16/\"permits\":$permits/g"
settle
names=()
for i in $(seq "$requests"); do
	names+=("r-$i")
	ask_behind "r-$i" $((i % daemons + 1)) fair "$tokens" '"deadline_ms":20000'
	sleep 0.03
done
wait_callers
whole=$(count_whole "$tokens" "${names[@]}")
peak=$(peak_running)
shares=0
for i in $(seq "$daemons"); do
	n=$(curl -fsS "http://$(api_of "$i")/metrics" | awk '$1 ~ /admission_permits$/ { print $2 }')
	shares=$((shares + n))
done
all=$((permits + 64)) # those of the booking service as well
p95=$(for n in "${names[@]}"; do cut -d ' ' -f 3 "$dir/$n.http"; done | awk '{ printf "%d\n", $1 * 1000 }' | quantile 95)
echo "proof: $whole of $requests answers whole asked at $daemons daemons, whose shares add up to $shares of $all permits; p95 $p95 ms for 200 ms of work; most running on the engine $peak of $permits permits"
[ "$whole" -eq "$requests" ] && [ "$peak" -le "$permits" ] && [ "$shares" -eq "$all" ]
