#!/usr/bin/env bash
# One workspace floods the site with requests. Shows that another one, which sends few
# requests, still gets its answers without long waits.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
engine_flags=(--slots 64)
start_site 73 3 2 1
apply_change 's/"permits":16/"permits":6/g'
wait_for_shares
flood=() quiet=()
for i in $(seq 150); do # 12 permits, 0.6 s each: 7 s of work at once
	flood+=("flood-$i")
	send_in_background "flood-$i" $((i % daemons + 1)) fair 30 '"deadline_ms":30000'
done
sleep 0.5
for i in $(seq 15); do
	quiet+=("quiet-$i")
	send_in_background "quiet-$i" $((i % daemons + 1)) school 10 '"deadline_ms":30000'
	sleep 0.3
done
wait_callers

# Keep-alives can come before the first token, so waits beyond the keep-alive period
# show only in the total time of a request.
total_ms() { local n; for n in "$@"; do cut -d ' ' -f 3 "$dir/$n.http" | awk '{ printf "%d\n", $1 * 1000 }'; done; }
quiet_complete=$(count_complete 10 "${quiet[@]}")
flood_complete=$(count_complete 30 "${flood[@]}")
quiet_p95=$(total_ms "${quiet[@]}" | quantile 95)
flood_p50=$(total_ms "${flood[@]}" | quantile 50)
flood_max=$(total_ms "${flood[@]}" | quantile 100)
echo "proof: $quiet_complete of 15 answers of the quiet workspace complete, p95 $quiet_p95 ms for 200 ms of work; $flood_complete of 150 answers of the flooding one, p50 $flood_p50 ms, max $flood_max ms"
[ "$quiet_complete" -eq 15 ] && [ "$flood_complete" -eq 150 ] && [ "$quiet_p95" -lt 1500 ] && [ "$flood_max" -gt 4000 ]
