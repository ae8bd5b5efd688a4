#!/usr/bin/env bash
# Runs the same load with the same engine pauses under both objectives of the service.
# With the objective latency, answers must resume sooner; with resources, the engines
# must do less work. Eight engines are paused for 0.7 s in turn, then two for 3 s.
run_objective() { # run_objective SUBNET OBJECTIVE
	source "$(dirname "$0")/../scripts/lib.sh"
	source "$root/scripts/load.sh"
	objective=$2
	start_site "$1" 4 12 1 >/dev/null
	wait_for_shares
	load --final --seed "${SEED:-1}" --duration 16s --rate "${RATE:-30}" --confirmations 0 \
		--prefixes 40 --long 0.2 >"$dir/load.txt" &
	local caller=$! i status=0
	pids+=("$caller")
	sleep 2
	for i in 1 2 3 4 5 6 7 8; do
		pause_process "engine-$i"; sleep 0.7; resume_process "engine-$i"; sleep 0.3
	done
	pause_process engine-9; pause_process engine-10; sleep 3
	resume_process engine-9; resume_process engine-10
	wait "$caller" || status=$?
	cat "$dir/load.txt"
	return $status
}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
(run_objective 99 latency) >"$out/latency" || { cat "$out/latency"; exit 1; }
(run_objective 100 resources) >"$out/resources" || { cat "$out/resources"; exit 1; }
tail -n +2 "$out/latency"; tail -n +2 "$out/resources"
resume() { sed -n 's|.*resume p50/p95/p99/max \([0-9]*\)/\([0-9]*\)/.*|\1 \2|p' "$out/$1" | head -n 1; }
work() { sed -n 's|.*engines prefill/cached/decode *\([0-9]*\)/[0-9]*/\([0-9]*\).*|\1 \2|p' "$out/$1"; }
read -r lp50 lp95 <<<"$(resume latency)"
read -r rp50 rp95 <<<"$(resume resources)"
read -r lprefill ldecode <<<"$(work latency)"
read -r rprefill rdecode <<<"$(work resources)"
echo "proof: objective latency: resume p50/p95 $lp50/$lp95 ms, prefill+decode $((lprefill + ldecode)) tokens; objective resources: $rp50/$rp95 ms, $((rprefill + rdecode)) tokens"
[ "$lp50" -lt "$rp50" ] && [ $((lprefill + ldecode)) -gt $((rprefill + rdecode)) ]
