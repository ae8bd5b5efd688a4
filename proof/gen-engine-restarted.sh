#!/usr/bin/env bash
# The engine that runs several answers is killed and restarted immediately at the same
# address, without its streams.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 21 3 4 1
start_answers 1 12 200
wait_started 12
victim=$(busiest_engine)
kill_process "engine-$victim"
start_engine "$victim"
check_answers 1 12 200
lost=$(count_events target_lost)
[ "$lost" -gt 0 ] || { echo "no answer lost its engine"; exit 1; }
report "engine restarted during $lost answers, longest resume $(most_resume_ms) ms"
