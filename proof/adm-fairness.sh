#!/usr/bin/env bash
# One workspace floods the site; another that asks now and then keeps getting
# its answers soon.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
engine_flags=(--slots 64)
site 73 3 2 1
change_document 's/"permits":16/"permits":6/g'
settle
flood=() quiet=()
for i in $(seq 150); do # 12 permits, 0.6 s each: 7 s of work at once
	flood+=("flood-$i")
	ask_behind "flood-$i" $((i % daemons + 1)) fair 30 '"deadline_ms":30000'
done
sleep 0.5
for i in $(seq 15); do
	quiet+=("quiet-$i")
	ask_behind "quiet-$i" $((i % daemons + 1)) school 10 '"deadline_ms":30000'
	sleep 0.3
done
wait_callers

# Without keep-alives the first byte is the first token; waits beyond the
# keep-alive period show in the whole time.
took() { local n; for n in "$@"; do cut -d ' ' -f 3 "$dir/$n.http" | awk '{ printf "%d\n", $1 * 1000 }'; done; }
quiet_whole=$(count_whole 10 "${quiet[@]}")
flood_whole=$(count_whole 30 "${flood[@]}")
quiet_p95=$(took "${quiet[@]}" | quantile 95)
flood_p50=$(took "${flood[@]}" | quantile 50)
flood_max=$(took "${flood[@]}" | quantile 100)
echo "proof: $quiet_whole of 15 answers of the quiet workspace whole, p95 $quiet_p95 ms for 200 ms of work; $flood_whole of 150 of the flooding one, p50 $flood_p50 ms, last $flood_max ms"
[ "$quiet_whole" -eq 15 ] && [ "$flood_whole" -eq 150 ] && [ "$quiet_p95" -lt 1500 ] && [ "$flood_max" -gt 4000 ]
