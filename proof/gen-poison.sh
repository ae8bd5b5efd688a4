#!/usr/bin/env bash
# A request crashes each engine that runs it, and its caller resends it under new ids
# and to other daemons. Shows that it is quarantined after three crashes, and that
# concurrent answers continue and are not quarantined.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 17 3 8 1
start_answers 1 24 400
wait_started 24
send_poison poison-1 1 >"$dir/poison-1"
sleep 0.5
for i in 2 3 4; do send_poison "poison-$i" $((i - 1)) >"$dir/poison-$i"; done
check_answers 1 24 400
dead=$(count_dead 8)
refused=$(grep -l quarantined "$dir"/poison-? | wc -l)
quarantined_answers=$(timeline | grep -A 3 '"name": "request_quarantined"' | grep -c '"request": "answer-' || true)
[ "$dead" -le 3 ] && [ "$refused" -eq 4 ] && [ "$quarantined_answers" -eq 0 ] || { cat "$dir"/poison-?; failed=$((failed + 1)); }
report "request sent 4 times, $refused refused as quarantined, $dead of 8 engines crashed, $quarantined_answers other answers quarantined"
