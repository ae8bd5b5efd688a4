#!/usr/bin/env bash
# The engine that runs several answers is paused and resumed 3 s later. Its late tokens
# must not become part of the answers.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 11 3 4 1
start_answers 1 12 350
wait_started 12
victim=$(busiest_engine)
pause_process "engine-$victim"
sleep 3
resume_process "engine-$victim"
check_answers 1 12 350
lost=$(count_events target_lost)
[ "$lost" -gt 0 ] || { echo "no answer lost its engine"; exit 1; }
report "engine paused for 3 s during $lost answers, longest resume $(most_resume_ms) ms"
