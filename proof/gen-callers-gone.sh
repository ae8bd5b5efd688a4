#!/usr/bin/env bash
# Callers disconnect during long answers. Shows that the runs end after 10 s without a
# reader and free their engines.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 20 2 2 1
warm_up
for i in $(seq 10); do
	curl -sSN --max-time 3 -o /dev/null -H 'Content-Type: application/json' \
		-d "{\"id\":\"gone-$i\",\"workspace\":\"fair\",\"service\":\"pisar\",\"prompt\":\"p $i\",\"max_tokens\":100000,\"seed\":1}" \
		"http://$(api_address 1)/v1/generations" 2>/dev/null &
	callers[$i]=$!
done
sleep 1.5
before=$(running_requests)
for i in $(seq 10); do wait "${callers[$i]}" || true; done
sleep 5
kept=$(running_requests)
sleep 8
after=$(running_requests)
echo "proof: $before answers ran, $kept still ran 5 s after their callers disconnected, $after after 13 s"
[ "$before" -eq 10 ] && [ "$kept" -eq 10 ] && [ "$after" -eq 0 ]
