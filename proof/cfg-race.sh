#!/usr/bin/env bash
# Two operators concurrently apply changes to the same base version, in half of the
# rounds while the platform loses every answer to a write. Shows that exactly one change
# is accepted in each round, that the other operator gets a conflict, and that the
# accepted document becomes active.
source "$(dirname "$0")/../scripts/lib.sh"
rounds=${ROUNDS:-30}
start_site 51 4 1 1
version=1 lost=0 reported=0
for n in $(seq "$rounds"); do
	lose=false
	[ $((n % 2)) = 0 ] && lose=true && lost=$((lost + 1))
	set_faults "$platform" "{\"lose_answers\":$lose}"
	for who in ana bor; do
		sed "s/\"name\":\"school\"/\"name\":\"school-$who-$n\"/" "$dir/site.json" >"$dir/$who.json"
	done
	code=()
	"$bin/vanillaroad" -a "$(api_address 1)" apply -f "$dir/ana.json" --base "$version" --author ana >"$dir/ana.out" 2>&1 &
	a=$!
	"$bin/vanillaroad" -a "$(api_address 3)" apply -f "$dir/bor.json" --base "$version" --author bor >"$dir/bor.out" 2>&1 &
	b=$!
	wait $a && code[0]=0 || code[0]=$?
	wait $b && code[1]=0 || code[1]=$?
	winner=""
	[ "${code[0]}${code[1]}" = 03 ] && winner=ana loser=bor
	[ "${code[0]}${code[1]}" = 30 ] && winner=bor loser=ana
	if [ -z "$winner" ]; then
		echo "round $n: exit codes ${code[*]}"
		cat "$dir/ana.out" "$dir/bor.out"
		exit 1
	fi
	version=$((version + 1))
	grep -q "version $version by \"$winner\" won" "$dir/$loser.out" && grep -q "school-$winner-$n" "$dir/$loser.out" && reported=$((reported + 1))
	set_faults "$platform" '{}'
	wait_active "$version" 1 2 3 4
	"$bin/vanillaroad" -a "$(api_address 2)" get | grep -q "school-$winner-$n" || { echo "round $n: the accepted document of $winner is not active"; exit 1; }
done
echo "proof: $rounds races, $lost with lost answers: one accepted change each, which became active; conflicts that named the accepted change and the difference: $reported"
[ "$reported" = "$rounds" ]
