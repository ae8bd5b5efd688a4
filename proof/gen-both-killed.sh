#!/usr/bin/env bash
# A daemon and an engine with running answers are killed at the same time. Shows that
# the answers are complete.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 15 3 4 1
start_answers 1 12 200
wait_started 12
engine=$(busiest_engine) daemon=$(busiest_daemon)
kill_process "engine-$engine"
kill_process "vm-$daemon"
check_answers 1 12 200
continued=$(count_events generation_continued)
[ "$continued" -gt 0 ] || { echo "no caller moved to another daemon"; exit 1; }
report "daemon and engine killed, $continued answers moved to another daemon"
