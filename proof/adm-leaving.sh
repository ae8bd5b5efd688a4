#!/usr/bin/env bash
# A target that leaves gets no new work after 5 s, whichever source says so: the
# operators' mark, the VM list, or the target itself. What runs on it ends whole.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
site 75 3 4 1
for i in 1 2 3 4; do
	sed -i "s/\"name\":\"engine-$i\"/\"name\":\"engine-$i\",\"vm\":\"host-$i\"/" "$dir/site.json"
done
change_document
settle
asked=0
flow() { # flow COUNT TOKENS: asks all daemons in turn
	local i
	for i in $(seq "$1"); do
		asked=$((asked + 1))
		names+=("r-$asked")
		ask_behind "r-$asked" $((asked % daemons + 1)) fair "$2"
		sleep 0.02
	done
}
names=()
leaves() { # leaves ENGINE HOW: counts what the engine gets in the 5 s and after
	local before at after
	flow 24 200 # 4 s of work runs on all engines
	before=$(work_of "$1" streams)
	"mark_by_$2" "$1"
	flow 100 5 # 2 s and more
	sleep 3
	at=$(work_of "$1" streams)
	flow 100 5
	after=$(work_of "$1" streams)
	echo "engine $1 leaves by $2: streams before $before, after 5 s $at, after 100 more requests $after"
	late=$((late + after - at))
	[ "$before" -gt 0 ] || { echo "engine $1 had no work before"; exit 1; }
}
mark_by_operators() { change_document "s/\"name\":\"engine-$1\"/\"name\":\"engine-$1\",\"leaving\":true/"; }
mark_by_vm_list() {
	local list
	list=$(curl -fsS "http://$platform/vms")
	curl -fsS -X PUT -d "${list%]*},{\"id\":\"host-$1\",\"address\":\"127.$subnet.2.$1\",\"place\":\"$(place_of "$1")\",\"region\":\"osrednja\",\"leaving\":true}]" "http://$platform/vms"
}
mark_by_target() { set_faults "127.$subnet.2.$1:8000" '{"leaving":true}'; }
late=0
leaves 1 operators
leaves 2 vm_list
leaves 3 target
wait_callers
long=$(count_whole 200 "${names[@]}") short=$(count_whole 5 "${names[@]}")
echo "proof: new streams on leaving targets later than 5 s after the mark: $late of 300 requests; answers whole $((long + short)) of $asked"
[ "$late" -eq 0 ] && [ $((long + short)) -eq "$asked" ]
