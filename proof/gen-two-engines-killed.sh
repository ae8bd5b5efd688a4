#!/usr/bin/env bash
# Two engines are killed, the second one while answers of the first one resume. Shows
# that all answers are complete.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 16 3 4 1
start_answers 1 12 200
wait_started 12
kill_process "engine-$(busiest_engine)"
sleep 0.1
kill_process "engine-$(busiest_engine)"
check_answers 1 12 200
lost=$(count_events target_lost)
[ "$lost" -gt 0 ] || { echo "no answer lost its engine"; exit 1; }
report "two engines killed 0.1 s apart, $lost losses, longest resume $(most_resume_ms) ms"
