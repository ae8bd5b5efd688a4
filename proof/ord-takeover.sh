#!/usr/bin/env bash
# Orders to targets: at most two engines load weights at a time, orders are sent only
# for differences, and a lease holder that is paused until its lease has expired sends
# no orders when it resumes. Half of the engines check fencing numbers.
source "$(dirname "$0")/../scripts/lib.sh"
daemon_settings='"membership":{"directory_ttl":"1s"},"placement":{"max_loads":2,"lease_duration":"3s","lease_margin":"1s","order_timeout":"1s"}'
weights=127.110.4.1:7500
start weights "$bin/standin" weights --listen "$weights" --limit 2
start_engine() {
	local check=()
	[ $(($1 % 2)) -eq 0 ] || check=(--checks-fencing)
	start "engine-$1" "$bin/standin" engine --listen "127.$subnet.2.$1:8000" --models writer=1 \
		--weight-store "http://$weights" --load-time 500ms --load-lag 100ms "${check[@]}"
}
planner=0
site_document() {
	local i targets="" checks
	for i in $(seq "$engines"); do
		checks=false
		[ $((i % 2)) -eq 0 ] || checks=true
		targets+="{\"name\":\"engine-$i\",\"address\":\"127.$subnet.2.$i:8000\",\"place\":\"$(place_of "$i")\",\"labels\":{\"service\":\"pisar\"},\"permits\":16,\"checks_fencing\":$checks,\"wanted\":{\"writer\":\"1\",\"planner\":\"$planner\"}},"
	done
	echo "{\"services\":[{\"name\":\"pisar\",\"kind\":\"generation\",\"selector\":\"service=pisar\",\"model\":\"writer\",\"version\":\"1\",\"new_share\":100}],\"workspaces\":[{\"name\":\"fair\"}],\"targets\":[${targets%,}]}"
}
count_reporting() { # prints how many engines report the wanted version of model planner
	local i n=0
	for i in $(seq "$engines"); do
		curl -fsS "http://127.$subnet.2.$i:8000/health" | grep -q "\"planner\":\"$planner\"" && n=$((n + 1))
	done
	echo "$n"
}
wait_reporting() {
	local _
	for _ in $(seq 300); do
		[ "$(count_reporting)" -eq "$engines" ] && return 0
		sleep 0.1
	done
	echo "only $(count_reporting) of $engines engines report planner $planner" >&2
	"${cli[@]}" timeline | grep -e lease -e order >&2
	exit 1
}
holder() { "${cli[@]}" timeline 2>/dev/null | grep lease_taken | tail -n 1 | awk '{print $2}'; }
apply_next() {
	planner=$((planner + 1))
	site_document >"$dir/site.json"
	"$bin/vanillaroad" -a "$1" apply -f "$dir/site.json" --author proof
}

start_site 110 3 6 1
wait_reporting
first=$(holder)
echo "first holder $first"
pause_process "$first"
for i in 1 2 3; do [ "vm-$i" = "$first" ] || other=$(api_address "$i"); done
begin=$(date +%s%N)
apply_next "$other"
wait_reporting
duration_ms=$((($(date +%s%N) - begin) / 1000000))
resume_process "$first"
sleep 3
[ "$(count_reporting)" -eq "$engines" ] || { echo "an engine reverted to an old version"; exit 1; }
second=$(holder)
[ "$second" != "$first" ] || { echo "no other daemon acquired the lease"; exit 1; }
counts=$(curl -fsS "http://$weights/counts")
echo "weights: $counts"
peak=$(echo "$counts" | grep -o '"peak":[0-9]*' | grep -o '[0-9]*')
[ "$peak" -le 2 ] || { echo "more than 2 engines loaded weights at once"; exit 1; }
orders=0 fenced=0
for i in $(seq "$engines"); do
	work=$(curl -fsS "http://127.$subnet.2.$i:8000/work")
	orders=$((orders + $(echo "$work" | grep -o '"orders":[0-9]*' | grep -o '[0-9]*')))
	fenced=$((fenced + $(echo "$work" | grep -o '"fenced_orders":[0-9]*' | grep -o '[0-9]*')))
done
"${cli[@]}" timeline | grep -e lease -e order_failed || true
[ "$fenced" -eq 0 ] || { echo "$fenced orders had an old fencing number"; exit 1; }
echo "proof: lease moved from $first to $second; all $engines engines at version $planner in $duration_ms ms after the change; $orders orders, $fenced with an old fencing number; at most $peak concurrent weight loads"
