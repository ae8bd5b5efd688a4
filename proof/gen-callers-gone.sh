#!/usr/bin/env bash
# Callers vanish in the middle of long answers: the runs end after the stated
# 10 s without a reader and hold no engine any more.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
site 20 2 2 1
warm_up
for i in $(seq 10); do
	curl -sSN --max-time 3 -o /dev/null -H 'Content-Type: application/json' \
		-d "{\"id\":\"gone-$i\",\"workspace\":\"fair\",\"service\":\"pisar\",\"prompt\":\"p $i\",\"max_tokens\":100000,\"seed\":1}" \
		"http://$(api_of 1)/v1/generations" 2>/dev/null &
	callers[$i]=$!
done
sleep 1.5
before=$(running)
for i in $(seq 10); do wait "${callers[$i]}" || true; done
sleep 5
kept=$(running)
sleep 8
after=$(running)
echo "proof: $before answers ran, $kept still 5 s after their callers vanished, $after after 13 s"
[ "$before" -eq 10 ] && [ "$kept" -eq 10 ] && [ "$after" -eq 0 ]
