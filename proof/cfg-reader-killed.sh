#!/usr/bin/env bash
# Daemons are killed and paused in turn, one of them after the other being the
# one that reads the platform for its place, while changes flow through the
# rest. Shows that each change is in force on all live daemons within 6 s.
source "$(dirname "$0")/../scripts/lib.sh"
site 53 8 2 1
version=1 worst=0 changes=0 late=0
change() { # change EXCEPT: applies through the other daemons and waits
	local list="" i began took
	for i in $(seq 8); do [ "$i" = "$1" ] || list+="$(api_of "$i"),"; done
	version=$((version + 1)) changes=$((changes + 1))
	sed "s/\"name\":\"school\"/\"name\":\"school\",\"weight\":$version/" "$dir/site.json" >"$dir/next.json"
	began=$(date +%s%N)
	"$bin/vanillaroad" -a "${list%,}" apply -f "$dir/next.json" --author proof >/dev/null
	for i in $(seq 8); do
		[ "$i" = "$1" ] && continue
		until in_force "$i" "$version"; do sleep 0.02; done
	done
	took=$((($(date +%s%N) - began) / 1000000))
	[ "$took" -gt "$worst" ] && worst=$took
	[ "$took" -gt 6000 ] && late=$((late + 1))
	return 0
}
for i in $(seq 8); do
	kill_process "vm-$i"
	for _ in 1 2 3; do change "$i"; done
	start_daemon "$i"
	wait_in_force "$version" "$i"
	pause_process "vm-$i"
	for _ in 1 2 3; do change "$i"; done
	wake_process "vm-$i"
	wait_in_force "$version" "$i"
done
echo "proof: $changes changes while each of 8 daemons was killed and paused: in force on the others, worst $worst ms (target 6000), late $late"
[ "$late" = 0 ]
