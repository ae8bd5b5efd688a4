#!/usr/bin/env bash
# The daemon that serves several answers is killed. Shows that the callers continue at
# another daemon, which attaches to the running streams.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 13 3 4 1
start_answers 1 12 200
wait_started 12
victim=$(busiest_daemon)
kill_process "vm-$victim"
check_answers 1 12 200
continued=$(count_events generation_continued) decoded=$(sum_work decode_tokens)
[ "$continued" -gt 0 ] || { echo "no caller moved to another daemon"; exit 1; }
report "daemon killed during $continued answers, $decoded tokens decoded for 2400"
