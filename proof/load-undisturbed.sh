#!/usr/bin/env bash
# Runs load without faults on 8 daemons, 12 engines and 2 booking services: first
# directly on the targets, then through the daemons, with the same plan.
# DURATION, RATE and SEED configure the load; OUT is a file for the result as JSON.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/load.sh"

start_site 90 8 12 2
load --mode both --whole --seed "${SEED:-1}" --duration "${DURATION:-15s}" --rate "${RATE:-40}" ${OUT:+--json "$OUT"} | tee "$dir/load.txt"
echo "proof: $(sed -n 's/^summary: system: //p' "$dir/load.txt"); $(sed -n 's/^cost: //p' "$dir/load.txt")"
