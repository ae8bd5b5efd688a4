#!/usr/bin/env bash
# Measures the resource use of eight daemons for confirmations at several rates.
# Usage: scripts/slope-confirm.sh [RATES...]
rates=("$@")
[ ${#rates[@]} -gt 0 ] || rates=(25 100 400)
here=$(dirname "$0")
for rate in "${rates[@]}"; do
	(
		source "$here/lib.sh"
		source "$here/load.sh"
		start_site 102 8 2 4 >/dev/null
		wait_for_shares
		load --duration 15s --rate "$rate" --confirmations 1 | grep -E '^ *(confirmation|ledger|daemons)|^fault|platform calls' |
			sed "s/^/rate $rate: /"
	)
done
