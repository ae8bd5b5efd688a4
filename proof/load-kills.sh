#!/usr/bin/env bash
# Runs load on 8 daemons, 12 engines and 2 booking services while engines and daemons
# are killed, paused and silenced, also two at once. Every answer must be complete or
# end with a typed final error, and output must resume within 5 s of a loss.
# RATE and SEED configure the load; OUT is a file for the result as JSON.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/load.sh"

start_site 91 8 12 2
wait_for_shares
begin=$(date +%s%N)
wait_until() { # wait_until SECONDS: waits until SECONDS after the start of the load
	local left=$((begin + $1 * 1000000000 - $(date +%s%N)))
	[ "$left" -le 0 ] || sleep "$(printf '%d.%09d' $((left / 1000000000)) $((left % 1000000000)))"
}
load --final --resume-within 5s --seed "${SEED:-1}" --duration 20s --rate "${RATE:-30}" ${OUT:+--json "$OUT"} >"$dir/load.txt" &
caller=$!
pids+=("$caller")

wait_until 3; echo "engine 1 is killed"; kill_process engine-1
wait_until 5; start_engine 1
wait_until 6; echo "engine 2 is paused"; pause_process engine-2
wait_until 7; echo "daemon 1 is killed"; kill_process vm-1
wait_until 9; start_daemon 1
wait_until 10; echo "engine 3 and daemon 2 are killed at once"; kill_process engine-3; kill_process vm-2
wait_until 11; echo "engine 2 is resumed"; resume_process engine-2
wait_until 12; echo "open connections of engine 4 become silent"; set_faults "127.$subnet.2.4:8000" '{"silent_streams":true}'
wait_until 13; echo "daemon 3 is paused"; pause_process vm-3
wait_until 14; echo "engines 5 and 6 are killed at once"; kill_process engine-5; kill_process engine-6
wait_until 16; echo "daemon 3 is resumed, killed processes are restarted"; resume_process vm-3; start_engine 3; start_engine 5; start_engine 6; start_daemon 2

status=0
wait "$caller" || status=$?
cat "$dir/load.txt"
echo "proof: $(sed -n 's/^summary: //p' "$dir/load.txt"); $(grep -c '^fault:' "$dir/load.txt" || true) faults"
exit $status
