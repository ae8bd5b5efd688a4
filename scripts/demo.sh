#!/usr/bin/env bash
# Starts a platform, four engines, a booking service and three daemons as
# separate processes, kills the engine under a running answer and shows that
# the answer stays whole. Ends only the processes it started.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=bin
dir=$(mktemp -d)
pids=()
cleanup() {
	for p in "${pids[@]}"; do kill -CONT "$p" 2>/dev/null || true; kill -KILL "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap cleanup EXIT
start() { # start NAME COMMAND...: runs in the background, logs to NAME.log
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=("$!")
	echo "$!" >"$dir/$name.pid"
}
wait_http() { # wait_http URL
	for _ in $(seq 100); do
		curl -fsS -o /dev/null --max-time 1 "$1" 2>/dev/null && return 0
		sleep 0.05
	done
	echo "no answer from $1" >&2
	tail -n 5 "$dir"/*.log >&2
	exit 1
}

platform=127.9.0.1:7000
start platform "$bin/standin" platform --listen "$platform"
places=(paviljon-jug paviljon-sever velika-dvorana preddverje)
targets=""
for i in 1 2 3 4; do
	start "engine-$i" "$bin/standin" engine --listen "127.9.2.$i:8000" --models writer=1
	targets+="{\"name\":\"engine-$i\",\"address\":\"127.9.2.$i:8000\",\"place\":\"${places[$((i - 1))]}\",\"labels\":{\"service\":\"pisar\"},\"permits\":16},"
done
start booking "$bin/standin" booking --listen 127.9.3.1:9000
targets+="{\"name\":\"booking-1\",\"address\":\"127.9.3.1:9000\",\"place\":\"preddverje\",\"labels\":{\"service\":\"sejemski-vpis\"},\"permits\":32}"
wait_http "http://$platform/vms"

vms=""
daemons=""
for i in 1 2 3; do
	vms+="{\"id\":\"vm-$i\",\"address\":\"127.9.1.$i\",\"place\":\"${places[$((i - 1))]}\",\"region\":\"osrednja\",\"labels\":{\"role\":\"entry\"}},"
	daemons+="127.9.1.$i:7100,"
	cat >"$dir/vm-$i.json" <<JSON
{"id":"vm-$i","place":"${places[$((i - 1))]}","region":"osrednja","api_address":"127.9.1.$i:7100",
 "peer_address":"127.9.1.$i:7200","platform":"http://$platform","log_level":"info",
 "membership":{"directory_ttl":"1s"}}
JSON
done
curl -fsS -X PUT -d "[${vms%,}]" "http://$platform/vms"
for i in 1 2 3; do start "vm-$i" "$bin/vanillaroadd" -settings "$dir/vm-$i.json"; done
for i in 1 2 3; do wait_http "http://127.9.1.$i:7100/v1/status"; done
road=("$bin/vanillaroad" -a "${daemons%,}")

cat >"$dir/site.json" <<JSON
{"services":[
  {"name":"pisar","kind":"generation","selector":"service=pisar","model":"writer","version":"1","new_share":100},
  {"name":"sejemski-vpis","kind":"plain","selector":"service=sejemski-vpis","new_share":100}],
 "workspaces":[{"name":"fair"}],
 "targets":[$targets]}
JSON
echo "== an operator puts the configuration in force"
"${road[@]}" apply -f "$dir/site.json" --wait 6s --author demo
for i in 1 2 3; do
	for _ in $(seq 100); do
		"$bin/vanillaroad" -a "127.9.1.$i:7100" status | grep -q '"configuration_version": 1' && break
		sleep 0.05
	done
done
echo "== a caller asks the directory"
"${road[@]}" directory --place paviljon-sever

echo "== a long answer; the engine under it is killed in the middle"
prompt="Draft a stand profile for a bakery that hires apprentices."
"${road[@]}" -o json generate --id demo-1 --workspace fair --service pisar --prompt "$prompt" --max-tokens 200 >"$dir/answer.json" &
caller=$!
victim=""
for _ in $(seq 100); do
	victim=$("${road[@]}" -o json timeline --request demo-1 2>/dev/null | grep -o '"target": "engine-[0-9]"' | head -n 1 | grep -o 'engine-[0-9]') || true
	[ -n "$victim" ] && break
	sleep 0.05
done
sleep 1.5
echo "killing $victim"
kill -KILL "$(cat "$dir/$victim.pid")"
wait "$caller"
"$bin/standin" check --prompt "$prompt" --length 200 "$dir/answer.json"

echo "== a confirmation"
"${road[@]}" confirm --workspace fair --service sejemski-vpis --body "stand 12 for fair"
curl -fsS "http://127.9.3.1:9000/ledger"

echo "== the time line"
"${road[@]}" timeline
resume=$("${road[@]}" -o json timeline --request demo-1 | grep -o '"resume_ms": "[0-9]*"' | grep -o '[0-9]*' | head -n 1)
echo "resume latency: ${resume:?the answer was not resumed} ms"
for i in 1 2 3; do kill -TERM "$(cat "$dir/vm-$i.pid")"; done
for i in 1 2 3; do wait "$(cat "$dir/vm-$i.pid")"; done
echo "demo passed"
