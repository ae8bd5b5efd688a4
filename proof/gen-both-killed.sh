#!/usr/bin/env bash
# A daemon and an engine are killed at the same time under several answers.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
site 15 3 4 1
start_answers 1 12 200
wait_underway 12
engine=$(busiest_engine) daemon=$(busiest_daemon)
kill_process "engine-$engine"
kill_process "vm-$daemon"
check_answers 1 12 200
continued=$(count_events generation_continued)
[ "$continued" -gt 0 ] || { echo "no caller moved"; exit 1; }
verdict "daemon and engine killed, $continued answers moved to another daemon"
