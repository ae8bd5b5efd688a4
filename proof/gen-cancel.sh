#!/usr/bin/env bash
# Callers cancel long answers, each at a daemon that does not run them: the
# answers end and their engines are free.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
site 27 3 2 1
warm_up
for i in $(seq 8); do
	curl -sSN -o "$dir/out-$i" -H 'Content-Type: application/json' \
		-d "{\"id\":\"long-$i\",\"workspace\":\"fair\",\"service\":\"pisar\",\"prompt\":\"p $i\",\"max_tokens\":100000,\"seed\":1}" \
		"http://$(api_of 1)/v1/generations" &
	callers[$i]=$!
done
sleep 1.5
before=$(running)
canceled=0
for i in $(seq 8); do
	curl -fsS -X DELETE "http://$(api_of 2)/v1/generations/long-$i" && canceled=$((canceled + 1))
done
for i in $(seq 8); do wait "${callers[$i]}" || true; done
told=$(grep -l '"code":"canceled"' "$dir"/out-* | wc -l)
sleep 1
after=$(running)
echo "proof: $before answers ran, $canceled were canceled at another daemon, $told callers were told so, $after run a second later"
[ "$before" -eq 8 ] && [ "$canceled" -eq 8 ] && [ "$told" -eq 8 ] && [ "$after" -eq 0 ]
