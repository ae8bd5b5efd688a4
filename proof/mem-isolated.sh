#!/usr/bin/env bash
# One daemon of four loses the platform and all peers (the platform answers 503,
# the peers are paused). Shows that it refuses new work as not run within
# seconds, finishes what runs, and takes work again when the others are back.
source "$(dirname "$0")/../scripts/lib.sh"
site 58 4 2 1
sleep 3
ask() { # ask: status and body of a short generation at vm-1
	curl -sS -m 5 -o "$dir/body" -w '%{http_code}' -H 'Content-Type: application/json' \
		-d "{\"id\":\"q-$RANDOM$RANDOM\",\"workspace\":\"fair\",\"service\":\"pisar\",\"prompt\":\"p\",\"max_tokens\":2}" "http://$(api_of 1)/v1/generations"
}
[ "$(ask)" = 200 ] || { cat "$dir/body"; exit 1; }
# The command line would go by the directory; this answer must run at vm-1.
curl -sSN -m 60 -o "$dir/long" -H 'Content-Type: application/json' \
	-d '{"id":"long","workspace":"fair","service":"pisar","prompt":"long p","max_tokens":700}' "http://$(api_of 1)/v1/generations" &
caller=$!
sleep 1
for i in 2 3 4; do pause_process "vm-$i"; done
set_faults "$platform" '{"down":true}'
began=$(date +%s%3N)
refused=""
for _ in $(seq 300); do
	if [ "$(ask)" != 200 ]; then
		refused=$(($(date +%s%3N) - began))
		break
	fi
	sleep 0.1
done
[ -n "$refused" ] || { echo "never refused"; exit 1; }
grep -q '"code":"isolated"' "$dir/body" && grep -q '"outcome":"not_run"' "$dir/body" && grep -q '"retry_after_ms":[1-9]' "$dir/body" || { cat "$dir/body"; exit 1; }
finished=no
wait "$caller" && grep -q '^event: done' "$dir/long" && [ "$(grep -c '^event: token' "$dir/long")" = 700 ] && finished=yes
for i in 2 3 4; do wake_process "vm-$i"; done
began=$(date +%s%3N)
until [ "$(ask)" = 200 ]; do sleep 0.1; done
back=$(($(date +%s%3N) - began))
echo "proof: cut off from platform and peers: new work refused as not run after $refused ms, the running answer finished: $finished, work again $back ms after the peers were back with the platform still down"
[ "$finished" = yes ] && [ "$refused" -lt 10000 ]
