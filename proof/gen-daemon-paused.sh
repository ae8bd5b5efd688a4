#!/usr/bin/env bash
# The daemon that serves several answers is paused and resumed 5 s later. It must not
# disturb the streams to which another daemon has attached.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 14 3 4 1
start_answers 1 12 500
wait_started 12
victim=$(busiest_daemon)
pause_process "vm-$victim"
sleep 5
resume_process "vm-$victim"
check_answers 1 12 500
continued=$(count_events generation_continued) decoded=$(sum_work decode_tokens)
[ "$continued" -gt 0 ] || { echo "no caller moved to another daemon"; exit 1; }
report "daemon paused for 5 s during $continued answers, $decoded tokens decoded for 6000, $(count_events generation_taken) answers taken over"
