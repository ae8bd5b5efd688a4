#!/usr/bin/env bash
# What daemons cost without load, for several sizes of a site.
# Usage: scripts/slope-idle.sh [DAEMONS:ENGINES...]
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(8:4 8:16 8:32 16:16 32:16)
here=$(dirname "$0")
for size in "${sizes[@]}"; do
	(
		source "$here/lib.sh"
		source "$here/load.sh"
		site 92 "${size%:*}" "${size#*:}" 1 >/dev/null
		settle
		echo "${size#*:} engines, $(load --mode idle --duration 15s)"
	)
done
