#!/usr/bin/env bash
# All processes of one place are killed under load: 2 of 8 daemons and 3 of 12 engines.
# Every answer must be complete or end with a typed final error, and output must resume
# within 5 s. SEED and RATE configure the load.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/load.sh"
start_site 115 8 12 2
load --final --resume-within 5s --seed "${SEED:-1}" --duration 20s --rate "${RATE:-30}" >"$dir/load.txt" &
caller=$!
pids+=("$caller")
sleep 8
for p in vm-1 vm-5 engine-1 engine-5 engine-9; do kill_process "$p"; done
echo "place $(place_of 1) is killed"
status=0
wait "$caller" || status=$?
cat "$dir/load.txt"
echo "proof: 2 of 8 daemons and 3 of 12 engines killed at once; $(sed -n 's/^summary: //p' "$dir/load.txt"); confirmations ran/not_run/unknown $(sed -n 's|.*ran/not_run/unknown *||p' "$dir/load.txt"); $(grep -c '^fault:' "$dir/load.txt" || true) faults"
exit $status
