#!/usr/bin/env bash
# Load on 8 daemons, 12 engines and 2 booking services while engines and daemons
# are killed, paused and cut off, also two at once. Every answer must be whole
# or have a typed, final end, and output must go on within 5 s of a loss.
# RATE and SEED may be set; OUT keeps the result as JSON.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/load.sh"

site 91 8 12 2
settle
begin=$(date +%s%N)
at() { # at SECONDS: waits until then after the start
	local left=$((begin + $1 * 1000000000 - $(date +%s%N)))
	[ "$left" -le 0 ] || sleep "$(printf '%d.%09d' $((left / 1000000000)) $((left % 1000000000)))"
}
load --final --resume-within 5s --seed "${SEED:-1}" --duration 20s --rate "${RATE:-30}" ${OUT:+--json "$OUT"} >"$dir/load.txt" &
caller=$!
pids+=("$caller")

at 3; echo "engine 1 is killed"; kill_process engine-1
at 5; start_engine 1
at 6; echo "engine 2 is paused"; pause_process engine-2
at 7; echo "daemon 1 is killed"; kill_process vm-1
at 9; start_daemon 1
at 10; echo "engine 3 and daemon 2 are killed at once"; kill_process engine-3; kill_process vm-2
at 11; echo "engine 2 wakes"; wake_process engine-2
at 12; echo "connections of engine 4 fall silent"; set_faults "127.$subnet.2.4:8000" '{"silent_streams":true}'
at 13; echo "daemon 3 is paused"; pause_process vm-3
at 14; echo "engines 5 and 6 are killed at once"; kill_process engine-5; kill_process engine-6
at 16; echo "daemon 3 wakes, all start again"; wake_process vm-3; start_engine 3; start_engine 5; start_engine 6; start_daemon 2

status=0
wait "$caller" || status=$?
cat "$dir/load.txt"
echo "proof: $(sed -n 's/^summary: //p' "$dir/load.txt"); $(grep -c '^fault:' "$dir/load.txt" || true) faults"
exit $status
