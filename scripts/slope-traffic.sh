#!/usr/bin/env bash
# Measures the resource use of one daemon for tokens at several request rates.
# Usage: scripts/slope-traffic.sh [RATES...]
rates=("$@")
[ ${#rates[@]} -gt 0 ] || rates=(15 30 60 120 240)
here=$(dirname "$0")
for rate in "${rates[@]}"; do
	(
		source "$here/lib.sh"
		source "$here/load.sh"
		engine_flags=(--slots 256)
		permits=256
		start_site 93 1 12 1 >/dev/null
		wait_for_shares
		load --duration 10s --rate "$rate" --confirmations 0 | grep -E '^ *(first token|between|tokens|daemons)|^summary|^fault' |
			sed "s/^/rate $rate: /"
	)
done
