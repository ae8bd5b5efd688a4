#!/usr/bin/env bash
# A request crashes each engine that runs it, and its caller sends it again
# under new ids and at other daemons. It stops after three engines, and the
# answers beside it go on and are not blamed.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
site 17 3 8 1
start_answers 1 24 400
wait_underway 24
poison poison-1 1 >"$dir/poison-1"
sleep 0.5
for i in 2 3 4; do poison "poison-$i" $((i - 1)) >"$dir/poison-$i"; done
check_answers 1 24 400
dead=$(count_dead 8)
refused=$(grep -l quarantined "$dir"/poison-? | wc -l)
blamed=$(timeline | grep -A 3 '"name": "request_quarantined"' | grep -c '"request": "answer-' || true)
[ "$dead" -le 3 ] && [ "$refused" -eq 4 ] && [ "$blamed" -eq 0 ] || { cat "$dir"/poison-?; failed=$((failed + 1)); }
verdict "request sent 4 times, $refused refused as quarantined, $dead of 8 engines died, $blamed innocent answers blamed"
