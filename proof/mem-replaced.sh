#!/usr/bin/env bash
# Every VM is replaced under load by one with another id and address. Odd ones are
# killed, even ones are stopped gracefully. Each is removed from the VM list two seconds
# later. Callers are started with the addresses of the first VMs only.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/load.sh"
start_site 113 6 6 2
"${cli[@]}" confirm --workspace fair --service sejemski-vpis --body first >/dev/null || { sleep 3; "${cli[@]}" confirm --workspace fair --service sejemski-vpis --body second >/dev/null; }
load --final --resume-within 5s --seed "${SEED:-1}" --duration 40s --rate "${RATE:-15}" >"$dir/load.txt" &
caller=$!
pids+=("$caller")
sleep 2
listed=(1 2 3 4 5 6)
replace() { # replace OLD NEW
	local list=() i
	write_settings "$2"
	listed+=("$2")
	put_vms "${listed[@]}"
	start_daemon "$2"
	wait_active 1 "$2"
	sleep 1
	if [ $(($1 % 2)) -eq 1 ]; then kill_process "vm-$1"; else stop_process "vm-$1"; fi
	sleep 2
	for i in "${listed[@]}"; do [ "$i" = "$1" ] || list+=("$i"); done
	listed=("${list[@]}")
	put_vms "${listed[@]}"
	sleep 1
}
for i in 1 2 3 4 5 6; do replace "$i" $((i + 6)); done
status=0
wait "$caller" || status=$?
cat "$dir/load.txt"
echo "proof: 6 of 6 VMs replaced, 3 killed and 3 stopped; $(sed -n 's/^summary: //p' "$dir/load.txt"); $(grep -c '^fault:' "$dir/load.txt" || true) faults"
# A call that a daemon had dispatched when it was killed may end unknown, but none may
# be refused.
refused=$(sed -n 's|.*ran/not_run/unknown *[0-9]*/\([0-9]*\)/.*|\1|p' "$dir/load.txt")
[ "$refused" = 0 ] || { echo "confirmations refused: $refused"; exit 1; }
exit $status
