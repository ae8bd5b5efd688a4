#!/usr/bin/env bash
# Daemons are killed and paused in turn, among them the platform reader of each place,
# while changes are applied through the others. Shows that each change becomes active
# on all live daemons within 6 s.
source "$(dirname "$0")/../scripts/lib.sh"
start_site 53 8 2 1
version=1 worst=0 changes=0 late=0
change() { # change EXCEPT: applies a change through the other daemons and waits until it is active there
	local list="" i began duration_ms
	for i in $(seq 8); do [ "$i" = "$1" ] || list+="$(api_address "$i"),"; done
	version=$((version + 1)) changes=$((changes + 1))
	sed "s/\"name\":\"school\"/\"name\":\"school\",\"weight\":$version/" "$dir/site.json" >"$dir/next.json"
	began=$(date +%s%N)
	"$bin/vanillaroad" -a "${list%,}" apply -f "$dir/next.json" --author proof >/dev/null
	for i in $(seq 8); do
		[ "$i" = "$1" ] && continue
		until is_active "$i" "$version"; do sleep 0.02; done
	done
	duration_ms=$((($(date +%s%N) - began) / 1000000))
	[ "$duration_ms" -gt "$worst" ] && worst=$duration_ms
	[ "$duration_ms" -gt 6000 ] && late=$((late + 1))
	return 0
}
for i in $(seq 8); do
	kill_process "vm-$i"
	for _ in 1 2 3; do change "$i"; done
	start_daemon "$i"
	wait_active "$version" "$i"
	pause_process "vm-$i"
	for _ in 1 2 3; do change "$i"; done
	resume_process "vm-$i"
	wait_active "$version" "$i"
done
echo "proof: $changes changes while each of 8 daemons was killed and paused: active on the others after at most $worst ms (limit 6000), late $late"
[ "$late" = 0 ]
