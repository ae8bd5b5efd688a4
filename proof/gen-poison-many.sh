#!/usr/bin/env bash
# Six copies of a request that crashes engines are sent at once, under six ids,
# to three daemons. No copy may reach a second engine unless fewer than three
# have died: at most as many engines die as copies ran before the first loss was
# known. The answers beside them go on and are not blamed.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
site 23 3 8 1
start_answers 1 24 400
wait_underway 24
copies=()
for i in 1 2 3 4 5 6; do
	poison "poison-$i" $(((i - 1) % 3 + 1)) >"$dir/poison-$i" &
	copies+=($!)
done
wait "${copies[@]}"
check_answers 1 24 400
dead=$(count_dead 8)
refused=$(grep -l quarantined "$dir"/poison-? | wc -l)
blamed=$(timeline | grep -A 3 '"name": "request_quarantined"' | grep -c '"request": "answer-' || true)
[ "$dead" -le 6 ] && [ "$refused" -eq 6 ] && [ "$blamed" -eq 0 ] || { cat "$dir"/poison-?; failed=$((failed + 1)); }
verdict "6 copies at once, $refused refused as quarantined, $dead of 8 engines died, $blamed innocent answers blamed"
