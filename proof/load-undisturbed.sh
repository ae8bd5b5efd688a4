#!/usr/bin/env bash
# Load without faults on 8 daemons, 12 engines and 2 booking services: first
# straight to the targets, then through the daemons, with the same plan.
# DURATION, RATE and SEED may be set; OUT keeps the result as JSON.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/load.sh"

site 90 8 12 2
load --mode both --whole --seed "${SEED:-1}" --duration "${DURATION:-15s}" --rate "${RATE:-40}" ${OUT:+--json "$OUT"} | tee "$dir/load.txt"
echo "proof: $(sed -n 's/^summary: system: //p' "$dir/load.txt"); $(sed -n 's/^cost: //p' "$dir/load.txt")"
