#!/usr/bin/env bash
# Six copies of a request that crashes engines are sent at once, under six ids, to three
# daemons. A copy may run on a second engine only while fewer than three engines have
# crashed, so at most as many engines crash as copies ran before the first crash was
# detected. Concurrent answers continue and are not quarantined.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 23 3 8 1
start_answers 1 24 400
wait_started 24
copies=()
for i in 1 2 3 4 5 6; do
	send_poison "poison-$i" $(((i - 1) % 3 + 1)) >"$dir/poison-$i" &
	copies+=($!)
done
wait "${copies[@]}"
check_answers 1 24 400
dead=$(count_dead 8)
refused=$(grep -l quarantined "$dir"/poison-? | wc -l)
quarantined_answers=$(timeline | grep -A 3 '"name": "request_quarantined"' | grep -c '"request": "answer-' || true)
[ "$dead" -le 6 ] && [ "$refused" -eq 6 ] && [ "$quarantined_answers" -eq 0 ] || { cat "$dir"/poison-?; failed=$((failed + 1)); }
report "6 copies at once, $refused refused as quarantined, $dead of 8 engines crashed, $quarantined_answers other answers quarantined"
