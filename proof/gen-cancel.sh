#!/usr/bin/env bash
# Callers cancel long answers at a daemon that does not run them. Shows that the
# answers end as canceled and free their engines.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 27 3 2 1
warm_up
for i in $(seq 8); do
	curl -sSN -o "$dir/out-$i" -H 'Content-Type: application/json' \
		-d "{\"id\":\"long-$i\",\"workspace\":\"fair\",\"service\":\"pisar\",\"prompt\":\"p $i\",\"max_tokens\":100000,\"seed\":1}" \
		"http://$(api_address 1)/v1/generations" &
	callers[$i]=$!
done
sleep 1.5
before=$(running_requests)
canceled=0
for i in $(seq 8); do
	curl -fsS -X DELETE "http://$(api_address 2)/v1/generations/long-$i" && canceled=$((canceled + 1))
done
for i in $(seq 8); do wait "${callers[$i]}" || true; done
notified=$(grep -l '"code":"canceled"' "$dir"/out-* | wc -l)
sleep 1
after=$(running_requests)
echo "proof: $before answers ran, $canceled were canceled at another daemon, $notified callers were notified, $after still ran a second later"
[ "$before" -eq 8 ] && [ "$canceled" -eq 8 ] && [ "$notified" -eq 8 ] && [ "$after" -eq 0 ]
