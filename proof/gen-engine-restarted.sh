#!/usr/bin/env bash
# The engine under several answers is killed and comes back at once at the same
# address, knowing nothing of its streams.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
site 21 3 4 1
start_answers 1 12 200
wait_underway 12
victim=$(busiest_engine)
kill_process "engine-$victim"
start_engine "$victim"
check_answers 1 12 200
lost=$(count_events target_lost)
[ "$lost" -gt 0 ] || { echo "no answer lost its engine"; exit 1; }
verdict "engine restarted under $lost answers, longest resume $(most_resume_ms) ms"
