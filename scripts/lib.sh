# Functions for the demo and the proofs. They start a small site as separate processes
# on loopback addresses and terminate only these processes. Source it, then call
#   start_site SUBNET DAEMONS ENGINES BOOKINGS
# Addresses: platform 127.SUBNET.0.1:7000, daemon i 127.SUBNET.1.i (API 7100,
# peers 7200), engine i 127.SUBNET.2.i:8000, booking i 127.SUBNET.3.i:9000.
# Each script uses its own SUBNET, so that scripts can run concurrently.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/bin
dir=$(mktemp -d)
pids=()
places=(paviljon-jug paviljon-sever velika-dvorana preddverje)
engine_flags=()   # additional flags of every engine
booking_flags=()  # additional flags of every booking service
permits=16        # permits of every engine
objective=latency # objective of the generation service: latency or resources
daemon_settings='"membership":{"directory_ttl":"1s"}' # additional settings of every daemon, as JSON members

cleanup() {
	local p
	for p in "${pids[@]}"; do
		kill -CONT "$p" 2>/dev/null || true
		kill -KILL "$p" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap cleanup EXIT

start() { # start NAME COMMAND...: runs a command in the background with output to NAME.log
	local name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 &
	pids+=("$!")
	disown "$!"
	echo "$!" >"$dir/$name.pid"
}
pid_of() { cat "$dir/$1.pid"; }
kill_process() { kill -KILL "$(pid_of "$1")"; }
pause_process() { kill -STOP "$(pid_of "$1")"; }
resume_process() { kill -CONT "$(pid_of "$1")"; }
stop_process() { # stops a process gracefully and waits until it has terminated
	kill -TERM "$(pid_of "$1")"
	while kill -0 "$(pid_of "$1")" 2>/dev/null; do sleep 0.05; done
}
wait_http() { # wait_http URL: waits until the URL answers
	local _
	for _ in $(seq 200); do
		curl -fsS -o /dev/null --max-time 1 "$1" 2>/dev/null && return 0
		sleep 0.05
	done
	echo "no answer from $1" >&2
	tail -n 5 "$dir"/*.log >&2
	exit 1
}
place_of() { echo "${places[$((($1 - 1) % ${#places[@]}))]}"; }
start_engine() { start "engine-$1" "$bin/standin" engine --listen "127.$subnet.2.$1:8000" --models writer=1 "${engine_flags[@]}"; }
start_booking() { start "booking-$1" "$bin/standin" booking --listen "127.$subnet.3.$1:9000" "${booking_flags[@]}"; }
start_daemon() { start "vm-$1" "$bin/vanillaroadd" -settings "$dir/vm-$1.json"; }
api_address() { echo "127.$subnet.1.$1:7100"; }
set_faults() { curl -fsS -X PUT -d "$2" "http://$1/faults"; } # set_faults ADDRESS JSON
put_vms() { # put_vms IDS...: sets the VM list to the VMs of these daemons
	local i list=""
	for i in "$@"; do
		list+="{\"id\":\"vm-$i\",\"address\":\"127.$subnet.1.$i\",\"place\":\"$(place_of "$i")\",\"region\":\"osrednja\",\"labels\":{\"role\":\"entry\"}},"
	done
	curl -fsS -X PUT -d "[${list%,}]" "http://$platform/vms"
}
write_settings() { # write_settings I
	cat >"$dir/vm-$1.json" <<JSON
{"id":"vm-$1","place":"$(place_of "$1")","region":"osrednja","api_address":"$(api_address "$1")",
 "peer_address":"127.$subnet.1.$1:7200","platform":"http://$platform","log_level":"info",
 $daemon_settings}
JSON
}
site_document() { # prints the configuration document of the site
	local i targets=""
	for i in $(seq "$engines"); do
		targets+="{\"name\":\"engine-$i\",\"address\":\"127.$subnet.2.$i:8000\",\"place\":\"$(place_of "$i")\",\"labels\":{\"service\":\"pisar\"},\"permits\":$permits},"
	done
	for i in $(seq "$bookings"); do
		targets+="{\"name\":\"booking-$i\",\"address\":\"127.$subnet.3.$i:9000\",\"place\":\"$(place_of "$i")\",\"labels\":{\"service\":\"sejemski-vpis\"},\"permits\":64},"
	done
	cat <<JSON
{"services":[
  {"name":"pisar","kind":"generation","selector":"service=pisar","model":"writer","version":"1","objective":"$objective","new_share":100},
  {"name":"sejemski-vpis","kind":"plain","selector":"service=sejemski-vpis","new_share":100}],
 "workspaces":[{"name":"fair"},{"name":"school"}],
 "targets":[${targets%,}]}
JSON
}
is_active() { # is_active I VERSION: succeeds if the configuration version is active on daemon I
	"$bin/vanillaroad" -a "$(api_address "$1")" status | grep -q "\"configuration_version\": $2,"
}
wait_active() { # wait_active VERSION DAEMONS...: waits until the configuration version is active on them
	local version=$1 i _
	shift
	for i in "$@"; do
		for _ in $(seq 200); do
			is_active "$i" "$version" && continue 2
			sleep 0.05
		done
		echo "configuration version $version is not active on vm-$i" >&2
		exit 1
	done
}
wait_ready() { # wait_ready DAEMONS...: waits until the directory of each lists all of them
	local i _
	for i in "$@"; do
		for _ in $(seq 400); do
			[ "$(curl -fsS --max-time 1 "http://$(api_address "$i")/v1/directory" 2>/dev/null | grep -o ':7100' | wc -l)" -ge $# ] && continue 2
			sleep 0.05
		done
		echo "the directory of vm-$i does not list $# daemons" >&2
		exit 1
	done
}
start_site() { # start_site SUBNET DAEMONS ENGINES BOOKINGS
	local i
	subnet=$1 daemons=$2 engines=$3 bookings=$4
	platform=127.$subnet.0.1:7000
	if curl -s -o /dev/null --max-time 1 "http://$platform/vms"; then
		echo "subnet 127.$subnet is in use: another run of this script?" >&2
		exit 77
	fi
	start platform "$bin/standin" platform --listen "$platform"
	for i in $(seq "$engines"); do start_engine "$i"; done
	for i in $(seq "$bookings"); do start_booking "$i"; done
	wait_http "http://$platform/vms"
	put_vms $(seq "$daemons")
	addresses=""
	for i in $(seq "$daemons"); do
		write_settings "$i"
		start_daemon "$i"
		addresses+="$(api_address "$i"),"
	done
	addresses=${addresses%,}
	for i in $(seq "$daemons"); do wait_http "http://$(api_address "$i")/v1/status"; done
	cli=("$bin/vanillaroad" -a "$addresses")
	site_document >"$dir/site.json"
	"${cli[@]}" apply -f "$dir/site.json" --author "$(basename "$0")"
	wait_active 1 $(seq "$daemons")
	wait_ready $(seq "$daemons")
}
