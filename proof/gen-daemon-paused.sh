#!/usr/bin/env bash
# The daemon under several answers is paused and woken 5 s later: it must not
# disturb the streams that another daemon has joined.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
site 14 3 4 1
start_answers 1 12 500
wait_underway 12
victim=$(busiest_daemon)
pause_process "vm-$victim"
sleep 5
wake_process "vm-$victim"
check_answers 1 12 500
continued=$(count_events generation_continued) decoded=$(sum_work decode_tokens)
[ "$continued" -gt 0 ] || { echo "no caller moved"; exit 1; }
verdict "daemon paused for 5 s under $continued answers, $decoded tokens decoded for 6000, $(count_events generation_taken) runs let go"
