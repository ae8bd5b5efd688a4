#!/usr/bin/env bash
# Confirmations under random faults: daemons and booking targets are killed and paused,
# one or two at a time, and the platform is down or loses answers, while callers retry
# at other daemons. The journals of the targets must show that no key ran twice and
# that no reported outcome is wrong.
# Usage: conf-faults.sh [SEED [SECONDS]]; CONF_KEEP is a directory to copy logs to.
source "$(dirname "$0")/../scripts/conf-lib.sh"
seed=${1:-1} seconds=${2:-40}
RANDOM=$seed
start_site 32 6 1 4
wait_confirmations
start_load "$seconds" --callers 24 --seed "$seed"
faults=0
sleep_random() { sleep "$((RANDOM % $1)).$((RANDOM % 10))"; }
random_index() { echo $((RANDOM % $1 + 1)); }
end=$((SECONDS + seconds - 2))
while [ "$SECONDS" -lt "$end" ]; do
	a=$(random_index "$daemons") b=$(random_index "$daemons") t=$(random_index "$bookings")
	RANDOM=$((seed + faults * 7919 + 13))
	faults=$((faults + 1))
	case $((RANDOM % 9)) in
	0) kill_and_wait "vm-$a"; sleep_random 2; start_daemon "$a" ;;
	1) pause_process "vm-$a"; sleep_random 4; resume_process "vm-$a" ;;
	2) kill_and_wait "booking-$t"; sleep_random 2; start_booking "$t" ;;
	3) pause_process "booking-$t"; sleep_random 2; resume_process "booking-$t" ;;
	4) set_faults "$platform" '{"down":true}'; sleep_random 3; set_faults "$platform" '{}' ;;
	5) set_faults "$platform" '{"lose_answers":true}'; kill_and_wait "vm-$a"; sleep_random 2; start_daemon "$a"; sleep_random 1; set_faults "$platform" '{}' ;;
	6) set_faults "$platform" '{"down":true}'; kill_and_wait "vm-$a"; sleep_random 3; set_faults "$platform" '{}'; start_daemon "$a" ;;
	7) pause_process "vm-$a"; [ "$a" = "$b" ] || kill_and_wait "vm-$b"; sleep_random 3; resume_process "vm-$a"; [ "$a" = "$b" ] || start_daemon "$b" ;;
	8) pause_process "vm-$a"; sleep_random 2; kill_and_wait "vm-$a"; start_daemon "$a" ;;
	esac
	sleep_random 2
done
wait_load
sleep 3
query_again
[ -z "${CONF_KEEP:-}" ] || cp "$dir"/*.json "$dir"/*.log "$dir"/journal-* "$CONF_KEEP"
report=$(check_outcomes "$dir/again.json") || { echo "$report"; echo "proof: WRONG outcomes, seed $seed: $report"; exit 1; }
echo "$report"
keys=$(field "$report" keys)
[ "$keys" -gt 1000 ] || { echo "proof: too few keys: $keys"; exit 1; }
echo "proof: seed $seed, $faults faults, $keys keys: none ran twice, no wrong not_run; ran $(field "$report" ran), not_run $(field "$report" not_run), unknown $(field "$report" unknown) (of which ran $(field "$report" unknown_ran)), forgotten $(field "$report" forgotten); latency p50 $(field "$report" p50_ms) p99 $(field "$report" p99_ms) max $(field "$report" max_ms) ms"
