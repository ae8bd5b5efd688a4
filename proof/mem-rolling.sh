#!/usr/bin/env bash
# All eight daemons are stopped with SIGTERM and restarted, one after another, while
# callers generate and confirm continuously. Shows that no request is interrupted: every
# answer is complete and came from one daemon, and every confirmation ran exactly once.
source "$(dirname "$0")/../scripts/lib.sh"
callers=${CALLERS:-6}
start_site 54 8 4 2
sleep 2
load() { # load I: generates and confirms until the file stop exists
	local n=0
	while [ ! -e "$dir/stop" ]; do
		n=$((n + 1))
		"${cli[@]}" -o json generate --id "g-$1-$n" --workspace fair --service pisar --prompt "p $1 $n" --max-tokens 60 >"$dir/out-$1" 2>"$dir/err-$1" &&
			echo complete >>"$dir/generated-$1" || { echo incomplete >>"$dir/generated-$1"; cat "$dir/err-$1" >>"$dir/errors"; }
		grep -o '"moves": [0-9]*' "$dir/out-$1" | grep -o '[0-9]*$' >>"$dir/moves-$1" || true
		"${cli[@]}" confirm --workspace fair --service sejemski-vpis --body "stand $1 $n" >/dev/null 2>"$dir/err-$1" &&
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
	wait_active 1 "$i"
	sleep 1
done
touch "$dir/stop"
wait "${loads[@]}"
count() { cat "$dir"/"$1"-* 2>/dev/null | grep -c "^$2\$" || true; }
complete=$(count generated complete) incomplete=$(count generated incomplete) ran=$(count confirmed ran) failed=$(count confirmed failed)
moved=$(cat "$dir"/moves-* 2>/dev/null | grep -vc '^0$' || true)
timed_out=$("${cli[@]}" -o json timeline 2>/dev/null | grep -c '"name": "drain_cut"' || true)
doubled=0
for b in 1 2; do
	doubled=$((doubled + $(curl -fsS "http://127.54.3.$b:9000/ledger" | grep -o '":[0-9]*' | grep -vc '":1$' || true)))
done
[ -e "$dir/errors" ] && sort "$dir/errors" | uniq -c | sort -rn | head -5
echo "proof: 8 daemons restarted under load of $callers callers: $complete answers complete, $incomplete incomplete, $moved moved to another daemon; $ran confirmations ran, $failed failed, $doubled ran more than once; drains timed out $timed_out"
[ "$incomplete" = 0 ] && [ "$moved" = 0 ] && [ "$failed" = 0 ] && [ "$doubled" = 0 ] && [ "$timed_out" = 0 ] && [ "$complete" -gt 50 ]
