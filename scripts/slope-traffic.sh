#!/usr/bin/env bash
# What one daemon spends on tokens, for several rates of requests.
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
		site 93 1 12 1 >/dev/null
		settle
		load --duration 10s --rate "$rate" --confirmations 0 | grep -E '^ *(first token|between|tokens|daemons)|^summary|^fault' |
			sed "s/^/rate $rate: /"
	)
done
