#!/usr/bin/env bash
# The daemon under several answers is killed; the callers go on at another one,
# which joins the streams that still run.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
site 13 3 4 1
start_answers 1 12 200
wait_underway 12
victim=$(busiest_daemon)
kill_process "vm-$victim"
check_answers 1 12 200
continued=$(count_events generation_continued) decoded=$(sum_work decode_tokens)
[ "$continued" -gt 0 ] || { echo "no caller moved"; exit 1; }
verdict "daemon killed under $continued answers, $decoded tokens decoded for 2400"
