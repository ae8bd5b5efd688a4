# Functions for the proofs of confirmations. Source it instead of lib.sh, after setting
# booking_flags. Booking services write a journal that remains when they are killed.
source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
daemon_settings='"membership":{"directory_ttl":"1s"},"event_ring":65536'
booking_delay=5ms
start_booking() {
	start "booking-$1" "$bin/standin" booking --listen "127.$subnet.3.$1:9000" --delay "$booking_delay" --journal "$dir/journal-$1"
}
journals() {
	local i list=""
	for i in $(seq "$bookings"); do
		touch "$dir/journal-$i"
		list+="$dir/journal-$i,"
	done
	echo "${list%,}"
}
kill_and_wait() { # kill_and_wait NAME: kills a process and waits until it has ended and its address is free
	kill_process "$1"
	while kill -0 "$(pid_of "$1")" 2>/dev/null; do sleep 0.01; done
}
eval "$(declare -f write_settings | sed "s/\"log_level\":\"info\"/\"log_level\":\"${CONF_LOG:-info}\"/")"
wait_confirmations() { # waits until every daemon issues keys
	local i _
	for i in $(seq "$daemons"); do
		for _ in $(seq 200); do
			curl -fsS -o /dev/null -X POST "http://$(api_address "$i")/v1/confirmation-keys" 2>/dev/null && continue 2
			sleep 0.05
		done
		echo "vm-$i does not issue keys" >&2
		exit 1
	done
}
start_load() { # start_load SECONDS [FLAGS...]
	local seconds=$1
	shift
	"$bin/standin" confirm-load --addresses "$addresses" --duration "${seconds}s" --out "$dir/outcomes.json" "$@" &
	load_pid=$!
}
wait_load() { wait "$load_pid"; }
query_again() { "$bin/standin" confirm-load --addresses "$addresses" --again "$dir/outcomes.json" --out "$dir/again.json" --patience 10s; }
check_outcomes() { # check_outcomes FILE: prints the report; fails if an outcome is wrong
	"$bin/standin" confirm-check --ledgers "$(journals)" "$1"
}
field() { echo "$1" | grep -o "\"$2\":[0-9.]*" | cut -d: -f2; } # field REPORT NAME: prints a number of a report
