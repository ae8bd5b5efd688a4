#!/usr/bin/env bash
# All eight daemons are restarted one after another (SIGTERM, then started
# again) while callers generate and confirm without pause. Shows that no
# request is cut: every answer is whole, came from one daemon without a move,
# and every confirmation ran, each once.
source "$(dirname "$0")/../scripts/lib.sh"
callers=${CALLERS:-6}
site 54 8 4 2
sleep 2
load() { # load I: generates and confirms until told to stop
	local n=0
	while [ ! -e "$dir/stop" ]; do
		n=$((n + 1))
		"${road[@]}" -o json generate --id "g-$1-$n" --workspace fair --service pisar --prompt "p $1 $n" --max-tokens 60 >"$dir/out-$1" 2>"$dir/err-$1" &&
			echo whole >>"$dir/generated-$1" || { echo cut >>"$dir/generated-$1"; cat "$dir/err-$1" >>"$dir/errors"; }
		grep -o '"moves": [0-9]*' "$dir/out-$1" | grep -o '[0-9]*$' >>"$dir/moves-$1" || true
		"${road[@]}" confirm --workspace fair --service sejemski-vpis --body "stand $1 $n" >/dev/null 2>"$dir/err-$1" &&
			echo ran >>"$dir/confirmed-$1" || { echo failed >>"$dir/confirmed-$1"; cat "$dir/err-$1" >>"$dir/errors"; }
	done
}
loads=()
for c in $(seq "$callers"); do
	load "$c" &
	loads+=($!)
done
sleep 2
for i in $(seq 8); do
	stop_process "vm-$i"
	start_daemon "$i"
	wait_in_force 1 "$i"
	sleep 1
done
touch "$dir/stop"
wait "${loads[@]}"
count() { cat "$dir"/"$1"-* 2>/dev/null | grep -c "^$2\$" || true; }
whole=$(count generated whole) cut=$(count generated cut) ran=$(count confirmed ran) failed=$(count confirmed failed)
moved=$(cat "$dir"/moves-* 2>/dev/null | grep -vc '^0$' || true)
lost=$("${road[@]}" -o json timeline 2>/dev/null | grep -c '"name": "drain_cut"' || true)
doubled=0
for b in 1 2; do
	doubled=$((doubled + $(curl -fsS "http://127.54.3.$b:9000/ledger" | grep -o '":[0-9]*' | grep -vc '":1$' || true)))
done
[ -e "$dir/errors" ] && sort "$dir/errors" | uniq -c | sort -rn | head -5
echo "proof: 8 daemons restarted under load of $callers callers: $whole answers whole, $cut cut, $moved moved; $ran confirmations ran, $failed failed, $doubled doubled; drains cut short $lost"
[ "$cut" = 0 ] && [ "$moved" = 0 ] && [ "$failed" = 0 ] && [ "$doubled" = 0 ] && [ "$lost" = 0 ] && [ "$whole" -gt 50 ]
