#!/usr/bin/env bash
# Records traces of a small site while the configuration changes, the platform fails,
# a target leaves, one daemon is killed and another one is stopped gracefully.
# Usage: scripts/record-traces.sh DIRECTORY
source "$(dirname "$0")/lib.sh"
source "$root/scripts/load.sh"
keep=${1:?directory for the traces}
eval "shared_$(declare -f write_settings)"
write_settings() { # write_settings I
	daemon_settings="\"membership\":{\"directory_ttl\":\"1s\"},\"trace_file\":\"$dir/vm-$1.trace\""
	shared_write_settings "$1"
}

start_site 101 4 4 2
load --seed 1 --duration 8s --rate 6 --confirmations 0.5 --prefix-chars 256 --long-max 200 >"$dir/load.txt" &
caller=$!
pids+=("$caller")
sleep 1; set_faults "127.$subnet.2.4:8000" '{"leaving":true}'
sleep 1; "${cli[@]}" apply -f "$dir/site.json" --author second || true
sleep 1; set_faults "$platform" '{"down":true}'
sleep 1; kill_process vm-1
sleep 1; set_faults "$platform" '{}'
sleep 1; "${cli[@]}" apply -f "$dir/site.json" --author third || true
wait "$caller" || true
cat "$dir/load.txt"
stop_process vm-2
for i in 1 2 3 4; do
	cp "$dir/vm-$i.trace" "$keep/"
	"$bin/vanillaroad" trace replay "$dir/vm-$i.trace"
done
