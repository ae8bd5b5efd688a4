#!/usr/bin/env bash
# The engine under several answers is paused and woken 3 s later: its late
# tokens must not come in.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
site 11 3 4 1
start_answers 1 12 350
wait_underway 12
victim=$(busiest_engine)
pause_process "engine-$victim"
sleep 3
wake_process "engine-$victim"
check_answers 1 12 350
lost=$(count_events target_lost)
[ "$lost" -gt 0 ] || { echo "no answer left its engine"; exit 1; }
verdict "engine paused for 3 s under $lost answers, longest resume $(most_resume_ms) ms"
