#!/usr/bin/env bash
# What eight daemons spend on confirmations, for several rates.
# Usage: scripts/slope-confirm.sh [RATES...]
rates=("$@")
[ ${#rates[@]} -gt 0 ] || rates=(25 100 400)
here=$(dirname "$0")
for rate in "${rates[@]}"; do
	(
		source "$here/lib.sh"
		source "$here/load.sh"
		site 102 8 2 4 >/dev/null
		settle
		load --duration 15s --rate "$rate" --confirmations 1 | grep -E '^ *(confirmation|ledger|daemons)|^fault|platform calls' |
			sed "s/^/rate $rate: /"
	)
done
