#!/usr/bin/env bash
# An operator releases a quarantined request that was not mended: it may run
# again, and stops again after the same number of engines.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
site 26 3 8 1
warm_up
poison() {
	"${road[@]}" -o json generate --id poison-1 --workspace fair --service pisar \
		--prompt "stand 7 CRASH-THE-ENGINE" --max-tokens 50 >"$dir/poison" 2>&1 || true
}
count_dead() {
	local i dead=0
	for i in $(seq 8); do kill -0 "$(pid_of "engine-$i")" 2>/dev/null || dead=$((dead + 1)); done
	echo "$dead"
}
poison
first=$(count_dead)
poison
again=$(count_dead)
sed 's/^{"services"/{"released":["poison-1"],"services"/' "$dir/site.json" >"$dir/site-2.json"
"${road[@]}" apply -f "$dir/site-2.json" --base 1 --author proof >/dev/null
wait_in_force 2 1 2 3
poison
released=$(count_dead)
grep -q quarantined "$dir/poison"
echo "proof: $first engines died before it was stopped, $again after it was sent again, $released after an operator released it and it was sent once more"
[ "$first" -eq 3 ] && [ "$again" -eq 3 ] && [ "$released" -gt 3 ] && [ "$released" -le 6 ]
