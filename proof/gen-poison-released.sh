#!/usr/bin/env bash
# An operator releases a quarantined request that still crashes engines. Shows that it
# may run again and is quarantined again after the same number of crashes.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 26 3 8 1
warm_up
send_poison poison-1 1 >"$dir/poison"
first=$(count_dead 8)
send_poison poison-1 1 >"$dir/poison"
again=$(count_dead 8)
sed 's/^{"services"/{"released":["poison-1"],"services"/' "$dir/site.json" >"$dir/site-2.json"
"${cli[@]}" apply -f "$dir/site-2.json" --base 1 --author proof >/dev/null
wait_active 2 1 2 3
send_poison poison-1 1 >"$dir/poison"
released=$(count_dead 8)
grep -q quarantined "$dir/poison"
echo "proof: $first engines crashed before the request was quarantined, $again after it was sent again, $released after an operator released it and it was sent once more"
[ "$first" -eq 3 ] && [ "$again" -eq 3 ] && [ "$released" -gt 3 ] && [ "$released" -le 6 ]
