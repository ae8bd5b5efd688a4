#!/usr/bin/env bash
# All daemons are replaced one after another by planned stops, under load. Every
# confirmation runs and is told, and every record is still found at the end.
source "$(dirname "$0")/../scripts/conf-lib.sh"
site 34 6 1 3
wait_confirmations
sleep 3 # until the targets have been seen once
load_begin 45 --callers 16
sleep 2
longest=0
for i in $(seq "$daemons"); do
	begin=$(date +%s%3N)
	stop_process "vm-$i"
	took=$(($(date +%s%3N) - begin))
	[ "$took" -le "$longest" ] || longest=$took
	start_daemon "$i"
	wait_http "http://$(api_of "$i")/v1/status"
	sleep 2
done
kill -0 "$load" || { echo "proof: the load ended before the replacement did"; exit 1; }
load_end
sleep 1
ask_again
report=$(check_outcomes "$dir/again.json") || { echo "proof: FALSE outcomes: $report"; exit 1; }
echo "$report"
moved=$(grep -h -c '"event":505' "$dir"/vm-*.log | paste -sd+ | bc)
[ "$(field "$report" ran)" = "$(field "$report" keys)" ] && [ "$(field "$report" forgotten)" = 0 ] ||
	{ echo "proof: cut or forgotten: $report"; exit 1; }
echo "proof: $daemons of $daemons daemons replaced: $(field "$report" keys) of $(field "$report" keys) confirmations ran and are still found, none forgotten; wait p50 $(field "$report" p50_ms) p99 $(field "$report" p99_ms) max $(field "$report" max_ms) ms; longest planned stop $longest ms; $moved moves of shards"
