# Shared by the proofs of confirmations. Source it after setting booking flags,
# instead of lib.sh. Bookings keep a journal that outlives them.
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
kill_now() { # kill_now NAME: kills and waits for the end, so that its address is free
	kill_process "$1"
	while kill -0 "$(pid_of "$1")" 2>/dev/null; do sleep 0.01; done
}
eval "$(declare -f write_settings | sed "s/\"log_level\":\"info\"/\"log_level\":\"${CONF_LOG:-info}\"/")"
wait_confirmations() { # every daemon can issue a key
	local i _
	for i in $(seq "$daemons"); do
		for _ in $(seq 200); do
			curl -fsS -o /dev/null -X POST "http://$(api_of "$i")/v1/confirmation-keys" 2>/dev/null && continue 2
			sleep 0.05
		done
		echo "vm-$i issues no keys" >&2
		exit 1
	done
}
load_begin() { # load_begin SECONDS [FLAGS...]
	local seconds=$1
	shift
	"$bin/standin" confirm-load --addresses "$addresses" --duration "${seconds}s" --out "$dir/outcomes.json" "$@" &
	load=$!
}
load_end() { wait "$load"; }
ask_again() { "$bin/standin" confirm-load --addresses "$addresses" --again "$dir/outcomes.json" --out "$dir/again.json" --patience 10s; }
check_outcomes() { # check_outcomes FILE: prints the report; fails on a false outcome
	"$bin/standin" confirm-check --ledgers "$(journals)" "$1"
}
field() { echo "$1" | grep -o "\"$2\":[0-9.]*" | cut -d: -f2; } # field REPORT NAME
