#!/usr/bin/env bash
# What daemons cost without load, for several sizes of a site.
# Usage: scripts/slope-idle.sh [DAEMONS...]
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(4 8 16 32)
here=$(dirname "$0")
for n in "${sizes[@]}"; do
	(
		source "$here/lib.sh"
		source "$here/load.sh"
		site 92 "$n" 4 1 >/dev/null
		sleep 3
		load --mode idle --duration 10s
	)
done
