#!/usr/bin/env bash
# Shows that a leaving target gets no new requests after 5 s, whichever source reports
# it: the configuration, the VM list, or the target itself. Requests that already run
# on it are completed.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
start_site 75 3 4 1
for i in 1 2 3 4; do
	sed -i "s/\"name\":\"engine-$i\"/\"name\":\"engine-$i\",\"vm\":\"host-$i\"/" "$dir/site.json"
done
apply_change
wait_for_shares
sent=0
send_requests() { # send_requests COUNT TOKENS: sends requests to all daemons in turn
	local i
	for i in $(seq "$1"); do
		sent=$((sent + 1))
		names+=("r-$sent")
		send_in_background "r-$sent" $((sent % daemons + 1)) fair "$2"
		sleep 0.02
	done
}
names=()
check_leaving() { # check_leaving ENGINE SOURCE: counts the streams that the engine gets later than 5 s after the mark
	local before at after
	send_requests 24 200 # 4 s of work, on all engines
	before=$(engine_work "$1" streams)
	"mark_by_$2" "$1"
	send_requests 100 5 # at least 2 s
	sleep 3
	at=$(engine_work "$1" streams)
	send_requests 100 5
	after=$(engine_work "$1" streams)
	echo "engine $1 marked as leaving by $2: $before streams before, $at after 5 s, $after after 100 more requests"
	late=$((late + after - at))
	[ "$before" -gt 0 ] || { echo "engine $1 had no requests before the mark"; exit 1; }
}
mark_by_operators() { apply_change "s/\"name\":\"engine-$1\"/\"name\":\"engine-$1\",\"leaving\":true/"; }
mark_by_vm_list() {
	local list
	list=$(curl -fsS "http://$platform/vms")
	curl -fsS -X PUT -d "${list%]*},{\"id\":\"host-$1\",\"address\":\"127.$subnet.2.$1\",\"place\":\"$(place_of "$1")\",\"region\":\"osrednja\",\"leaving\":true}]" "http://$platform/vms"
}
mark_by_target() { set_faults "127.$subnet.2.$1:8000" '{"leaving":true}'; }
late=0
check_leaving 1 operators
check_leaving 2 vm_list
check_leaving 3 target
wait_callers
long=$(count_complete 200 "${names[@]}") short=$(count_complete 5 "${names[@]}")
echo "proof: new streams on leaving targets later than 5 s after the mark: $late of 300 requests; $((long + short)) of $sent answers complete"
[ "$late" -eq 0 ] && [ $((long + short)) -eq "$sent" ]
