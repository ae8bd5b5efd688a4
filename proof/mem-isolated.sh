#!/usr/bin/env bash
# One daemon of four is isolated: the platform answers 503 and all peers are paused.
# Shows that it refuses new requests as not run within seconds, completes the running
# ones, and accepts requests again when the peers are resumed.
source "$(dirname "$0")/../scripts/lib.sh"
start_site 58 4 2 1
sleep 3
send_probe() { # send_probe: sends a short generation to vm-1; prints the status
	curl -sS -m 5 -o "$dir/body" -w '%{http_code}' -H 'Content-Type: application/json' \
		-d "{\"id\":\"q-$RANDOM$RANDOM\",\"workspace\":\"fair\",\"service\":\"pisar\",\"prompt\":\"p\",\"max_tokens\":2}" "http://$(api_address 1)/v1/generations"
}
[ "$(send_probe)" = 200 ] || { cat "$dir/body"; exit 1; }
# The command-line client would use the directory; this answer must run at vm-1.
curl -sSN -m 60 -o "$dir/long" -H 'Content-Type: application/json' \
	-d '{"id":"long","workspace":"fair","service":"pisar","prompt":"long p","max_tokens":700}' "http://$(api_address 1)/v1/generations" &
caller=$!
sleep 1
for i in 2 3 4; do pause_process "vm-$i"; done
set_faults "$platform" '{"down":true}'
began=$(date +%s%3N)
refused=""
for _ in $(seq 300); do
	if [ "$(send_probe)" != 200 ]; then
		refused=$(($(date +%s%3N) - began))
		break
	fi
	sleep 0.1
done
[ -n "$refused" ] || { echo "new requests were never refused"; exit 1; }
grep -q '"code":"isolated"' "$dir/body" && grep -q '"outcome":"not_run"' "$dir/body" && grep -q '"retry_after_ms":[1-9]' "$dir/body" || { cat "$dir/body"; exit 1; }
finished=no
wait "$caller" && grep -q '^event: done' "$dir/long" && [ "$(grep -c '^event: token' "$dir/long")" = 700 ] && finished=yes
for i in 2 3 4; do resume_process "vm-$i"; done
began=$(date +%s%3N)
until [ "$(send_probe)" = 200 ]; do sleep 0.1; done
back=$(($(date +%s%3N) - began))
echo "proof: isolated from platform and peers: new requests refused as not run after $refused ms, running answer completed: $finished, requests accepted $back ms after the peers were resumed with the platform still down"
[ "$finished" = yes ] && [ "$refused" -lt 10000 ]
