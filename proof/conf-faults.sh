#!/usr/bin/env bash
# Confirmations under random faults: daemons and booking targets are killed and
# frozen, alone and two at once, the platform is down or loses answers, while
# callers resend at other daemons. The targets' journals must show no key run
# twice, and no outcome told that is not true.
# Usage: conf-faults.sh [SEED [SECONDS]]; CONF_KEEP names a directory for logs.
source "$(dirname "$0")/../scripts/conf-lib.sh"
seed=${1:-1} seconds=${2:-40}
RANDOM=$seed
site 32 6 1 4
wait_confirmations
load_begin "$seconds" --callers 24 --seed "$seed"
faults=0
hold() { sleep "$((RANDOM % $1)).$((RANDOM % 10))"; }
one_of() { echo $((RANDOM % $1 + 1)); }
end=$((SECONDS + seconds - 2))
while [ "$SECONDS" -lt "$end" ]; do
	a=$(one_of "$daemons") b=$(one_of "$daemons") t=$(one_of "$bookings")
	RANDOM=$((seed + faults * 7919 + 13))
	faults=$((faults + 1))
	case $((RANDOM % 9)) in
	0) kill_now "vm-$a"; hold 2; start_daemon "$a" ;;
	1) pause_process "vm-$a"; hold 4; wake_process "vm-$a" ;;
	2) kill_now "booking-$t"; hold 2; start_booking "$t" ;;
	3) pause_process "booking-$t"; hold 2; wake_process "booking-$t" ;;
	4) set_faults "$platform" '{"down":true}'; hold 3; set_faults "$platform" '{}' ;;
	5) set_faults "$platform" '{"lose_answers":true}'; kill_now "vm-$a"; hold 2; start_daemon "$a"; hold 1; set_faults "$platform" '{}' ;;
	6) set_faults "$platform" '{"down":true}'; kill_now "vm-$a"; hold 3; set_faults "$platform" '{}'; start_daemon "$a" ;;
	7) pause_process "vm-$a"; [ "$a" = "$b" ] || kill_now "vm-$b"; hold 3; wake_process "vm-$a"; [ "$a" = "$b" ] || start_daemon "$b" ;;
	8) pause_process "vm-$a"; hold 2; kill_now "vm-$a"; start_daemon "$a" ;;
	esac
	hold 2
done
load_end
sleep 3
ask_again
[ -z "${CONF_KEEP:-}" ] || cp "$dir"/*.json "$dir"/*.log "$dir"/journal-* "$CONF_KEEP"
report=$(check_outcomes "$dir/again.json") || { echo "$report"; echo "proof: FALSE outcomes, seed $seed: $report"; exit 1; }
echo "$report"
keys=$(field "$report" keys)
[ "$keys" -gt 1000 ] || { echo "proof: too few keys: $keys"; exit 1; }
echo "proof: seed $seed, $faults faults, $keys keys: none run twice, no false not_run; ran $(field "$report" ran), not_run $(field "$report" not_run), unknown $(field "$report" unknown) (of which ran $(field "$report" unknown_ran)), forgotten $(field "$report" forgotten); wait p50 $(field "$report" p50_ms) p99 $(field "$report" p99_ms) max $(field "$report" max_ms) ms"
