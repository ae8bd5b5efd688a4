#!/usr/bin/env bash
# Two operators race from the same base, in half of the rounds while the
# platform loses every answer to a write. Shows that each round has exactly one
# winner, that the other is told a conflict, and that the winner's document is
# the one in force.
source "$(dirname "$0")/../scripts/lib.sh"
rounds=${ROUNDS:-30}
site 51 4 1 1
version=1 lost=0 reported=0
for n in $(seq "$rounds"); do
	lose=false
	[ $((n % 2)) = 0 ] && lose=true && lost=$((lost + 1))
	set_faults "$platform" "{\"lose_answers\":$lose}"
	for who in ana bor; do
		sed "s/\"name\":\"school\"/\"name\":\"school-$who-$n\"/" "$dir/site.json" >"$dir/$who.json"
	done
	code=()
	"$bin/vanillaroad" -a "$(api_of 1)" apply -f "$dir/ana.json" --base "$version" --author ana >"$dir/ana.out" 2>&1 &
	a=$!
	"$bin/vanillaroad" -a "$(api_of 3)" apply -f "$dir/bor.json" --base "$version" --author bor >"$dir/bor.out" 2>&1 &
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
	wait_in_force "$version" 1 2 3 4
	"$bin/vanillaroad" -a "$(api_of 2)" get | grep -q "school-$winner-$n" || { echo "round $n: $winner won but is not in force"; exit 1; }
done
echo "proof: $rounds races, $lost with lost answers: one winner each, its document in force; losers told the winner and the difference $reported times"
[ "$reported" = "$rounds" ]
