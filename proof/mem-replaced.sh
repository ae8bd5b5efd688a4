#!/usr/bin/env bash
# Under load every VM is replaced by one with another id and address: the odd
# ones are killed, the even ones stop as planned. The VM list learns of each end
# two seconds late. Callers know only the addresses of the first VMs.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/load.sh"
site 113 6 6 2
"${road[@]}" confirm --workspace fair --service sejemski-vpis --body first >/dev/null || { sleep 3; "${road[@]}" confirm --workspace fair --service sejemski-vpis --body second >/dev/null; }
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
	wait_in_force 1 "$2"
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
# A call that a killed daemon had just sent may end unknown; none may be refused.
refused=$(sed -n 's|.*ran/not_run/unknown *[0-9]*/\([0-9]*\)/.*|\1|p' "$dir/load.txt")
[ "$refused" = 0 ] || { echo "confirmations refused: $refused"; exit 1; }
exit $status
