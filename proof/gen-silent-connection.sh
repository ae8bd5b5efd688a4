#!/usr/bin/env bash
# Open connections to every engine become silent permanently while new ones work. Shows
# that each answer continues from the running stream of its engine and that no work is
# repeated.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 12 3 4 1
# With this objective no second engine is used during a probe.
sed -i 's/"new_share":100}/"new_share":100,"objective":"resources"}/' "$dir/site.json"
"${cli[@]}" apply -f "$dir/site.json" --base 1 --author proof >/dev/null
wait_active 2 1 2 3
start_answers 1 12 200
wait_started 12
for i in 1 2 3 4; do set_faults "127.12.2.$i:8000" '{"silent_streams":true}'; done
check_answers 1 12 200
attached=$(count_events stream_attached)
streams=$(sum_work streams) decoded=$(sum_work decode_tokens)
[ "$attached" -ge 12 ] || { echo "only $attached streams were attached"; exit 1; }
[ "$decoded" -eq $((12 * 200)) ] || { echo "$decoded tokens decoded for 2400"; failed=1; }
report "$attached streams reattached, $streams engine streams, $decoded tokens decoded for 2400, longest resume $(most_resume_ms) ms"
