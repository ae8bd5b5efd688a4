#!/usr/bin/env bash
# All daemons are replaced one after another by planned stops, under load. Every
# confirmation must run and be answered, and every record must be found at the end.
source "$(dirname "$0")/../scripts/conf-lib.sh"
start_site 34 6 1 3
wait_confirmations
sleep 3 # until the daemons have observed every target once
start_load 45 --callers 16
sleep 2
longest=0
for i in $(seq "$daemons"); do
	begin=$(date +%s%3N)
	stop_process "vm-$i"
	duration_ms=$(($(date +%s%3N) - begin))
	[ "$duration_ms" -le "$longest" ] || longest=$duration_ms
	start_daemon "$i"
	wait_http "http://$(api_address "$i")/v1/status"
	sleep 2
done
kill -0 "$load_pid" || { echo "proof: the load ended before the replacement did"; exit 1; }
wait_load
sleep 1
query_again
report=$(check_outcomes "$dir/again.json") || { echo "proof: WRONG outcomes: $report"; exit 1; }
echo "$report"
moved=$(grep -h -c '"event":505' "$dir"/vm-*.log | paste -sd+ | bc)
[ "$(field "$report" ran)" = "$(field "$report" keys)" ] && [ "$(field "$report" forgotten)" = 0 ] ||
	{ echo "proof: not all ran, or records are missing: $report"; exit 1; }
echo "proof: $daemons of $daemons daemons replaced: $(field "$report" keys) of $(field "$report" keys) confirmations ran and are found, none forgotten; latency p50 $(field "$report" p50_ms) p99 $(field "$report" p99_ms) max $(field "$report" max_ms) ms; longest planned stop $longest ms; $moved shard moves"
