#!/usr/bin/env bash
# Ten daemons use one engine with four permits: four daemons have a share of its
# permits, and the others borrow from these. Shows that every daemon serves requests
# and that the engine never runs more streams than it has permits.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
engine_flags=(--slots 64)
permits=4 requests=100 tokens=10
start_site 77 10 1 1
apply_change "s/\"permits\":16/\"permits\":$permits/g"
wait_for_shares
names=()
for i in $(seq "$requests"); do
	names+=("r-$i")
	send_in_background "r-$i" $((i % daemons + 1)) fair "$tokens" '"deadline_ms":20000'
	sleep 0.03
done
wait_callers
complete=$(count_complete "$tokens" "${names[@]}")
peak=$(peak_running)
shares=0
for i in $(seq "$daemons"); do
	n=$(curl -fsS "http://$(api_address "$i")/metrics" | awk '$1 ~ /admission_permits$/ { print $2 }')
	shares=$((shares + n))
done
all=$((permits + 64)) # including the permits of the booking service
p95=$(for n in "${names[@]}"; do cut -d ' ' -f 3 "$dir/$n.http"; done | awk '{ printf "%d\n", $1 * 1000 }' | quantile 95)
echo "proof: $complete of $requests answers complete at $daemons daemons, whose shares add up to $shares of $all permits; p95 $p95 ms for 200 ms of work; at most $peak streams on the engine with $permits permits"
[ "$complete" -eq "$requests" ] && [ "$peak" -le "$permits" ] && [ "$shares" -eq "$all" ]
