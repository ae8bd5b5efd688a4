#!/usr/bin/env bash
# The platform is down: serving goes on, a daemon that restarts gets its
# configuration from its peers, a write is refused as not run. When the
# platform is back there is no stampede of calls.
source "$(dirname "$0")/../scripts/lib.sh"
seeds=$(for i in $(seq 8); do echo -n "\"127.52.1.$i:7200\","; done)
daemon_settings='"membership":{"directory_ttl":"1s","seeds":['${seeds%,}']}'
site 52 8 2 1
calls() { curl -fsS "http://$platform/calls" | grep -o ':[0-9]*' | tr -d : | paste -sd+ | bc; }
sleep 3
before=$(calls)
sleep 10
normal=$((($(calls) - before) / 10))
set_faults "$platform" '{"down":true}'
outage_began=$(calls) SECONDS=0
sleep 15
kill_process vm-3
start_daemon 3
wait_in_force 1 3
refused=0
"${road[@]}" apply -f "$dir/site.json" --base 1 --author proof >"$dir/write.out" 2>&1 || refused=$?
[ "$refused" = 4 ] || { echo "write in the outage: exit $refused"; cat "$dir/write.out"; exit 1; }
answered=0
for i in $(seq 20); do
	"${road[@]}" -o json generate --workspace fair --service pisar --prompt "p $i" --max-tokens 5 >/dev/null && answered=$((answered + 1))
done
"$bin/vanillaroad" -a "$(api_of 3)" generate --workspace fair --service pisar --prompt p --max-tokens 5 >/dev/null
isolated=$("${road[@]}" status | grep -c '"isolated": true') || true
during=$((($(calls) - outage_began) / SECONDS))
set_faults "$platform" '{}'
peak=0 last=$(calls)
for _ in $(seq 20); do
	sleep 0.5
	now=$(calls)
	rate=$(((now - last) * 2))
	last=$now
	[ "$rate" -gt "$peak" ] && peak=$rate
done
"${road[@]}" apply -f "$dir/site.json" --author proof --wait 6s >/dev/null
echo "proof: $answered of 20 answers whole in the outage, restarted daemon in force from peers, write refused (exit 4), isolated daemons $isolated; calls a second: $normal before, $during in the outage, peak of half a second after return $peak"
[ "$answered" = 20 ] && [ "$isolated" = 0 ] && [ "$peak" -le $((normal * 4 + 8)) ]
