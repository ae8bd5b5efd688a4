#!/usr/bin/env bash
# Measures the resource use of daemons without load for several site sizes.
# Usage: scripts/slope-idle.sh [DAEMONS:ENGINES...]
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(8:4 8:16 8:32 16:16 32:16)
here=$(dirname "$0")
for size in "${sizes[@]}"; do
	(
		source "$here/lib.sh"
		source "$here/load.sh"
		start_site 92 "${size%:*}" "${size#*:}" 1 >/dev/null
		wait_for_shares
		echo "${size#*:} engines, $(load --mode idle --duration 15s)"
	)
done
