#!/usr/bin/env bash
# Daemons record their inputs and decisions under load while engines and daemons are
# killed and paused. Each trace must replay to the same decisions. KEEP is a directory
# to copy the traces to.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/load.sh"
eval "shared_$(declare -f write_settings)"
write_settings() { # write_settings I
	daemon_settings="\"membership\":{\"directory_ttl\":\"1s\"},\"trace_file\":\"$dir/vm-$1.trace\""
	shared_write_settings "$1"
}

start_site 94 3 4 2
load --final --seed "${SEED:-1}" --duration 6s --rate "${RATE:-6}" --prefix-chars 256 --long-max 200 >"$dir/load.txt" &
caller=$!
pids+=("$caller")
sleep 2; kill_process engine-1
sleep 1; pause_process engine-2
sleep 1; kill_process vm-1
sleep 2; resume_process engine-2
status=0
wait "$caller" || status=$?
cat "$dir/load.txt"
stop_process vm-2
kill_process vm-3
for i in 1 2 3; do
	echo "vm-$i, $(wc -c <"$dir/vm-$i.trace") bytes:"
	"$bin/vanillaroad" trace replay "$dir/vm-$i.trace" || status=1
done | tee "$dir/replays.txt"
replayed=$(grep -c 'replayed to the same decisions' "$dir/replays.txt" || true)
[ -z "${KEEP:-}" ] || cp "$dir"/vm-*.trace "$KEEP/"
echo "proof: $replayed of 3 traces replayed to the same decisions, $(grep -o '^[0-9]* steps' "$dir/replays.txt" | awk '{n += $1} END {print n}') steps"
[ "$replayed" = 3 ] && exit $status
exit 1
