#!/usr/bin/env bash
# The engine that runs several answers is killed. Shows that each continues at another
# engine.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 10 3 4 1
start_answers 1 12 200
wait_started 12
victim=$(busiest_engine)
kill_process "engine-$victim"
check_answers 1 12 200
lost=$(count_events target_lost)
[ "$lost" -gt 0 ] || { echo "no answer lost its engine"; exit 1; }
report "engine killed during $lost answers, longest resume $(most_resume_ms) ms"
