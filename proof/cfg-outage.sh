#!/usr/bin/env bash
# The platform is down. Shows that serving continues, that a restarted daemon gets its
# configuration from its peers, and that a write is refused as not run. After the
# platform recovers, the call rate must not rise sharply.
source "$(dirname "$0")/../scripts/lib.sh"
seeds=$(for i in $(seq 8); do echo -n "\"127.52.1.$i:7200\","; done)
daemon_settings='"membership":{"directory_ttl":"1s","seeds":['${seeds%,}']}'
start_site 52 8 2 1
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
wait_active 1 3
refused=0
"${cli[@]}" apply -f "$dir/site.json" --base 1 --author proof >"$dir/write.out" 2>&1 || refused=$?
[ "$refused" = 4 ] || { echo "write during the outage: exit code $refused, want 4"; cat "$dir/write.out"; exit 1; }
answered=0
for i in $(seq 20); do
	"${cli[@]}" -o json generate --workspace fair --service pisar --prompt "p $i" --max-tokens 5 >/dev/null && answered=$((answered + 1))
done
"$bin/vanillaroad" -a "$(api_address 3)" generate --workspace fair --service pisar --prompt p --max-tokens 5 >/dev/null
isolated=$("${cli[@]}" status | grep -c '"isolated": true') || true
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
"${cli[@]}" apply -f "$dir/site.json" --author proof --wait 6s >/dev/null
echo "proof: $answered of 20 answers complete during the outage, restarted daemon configured by its peers, write refused (exit code 4), isolated daemons $isolated; platform calls per second: $normal before, $during during the outage, at most $peak in half a second after it"
[ "$answered" = 20 ] && [ "$isolated" = 0 ] && [ "$peak" -le $((normal * 4 + 8)) ]
