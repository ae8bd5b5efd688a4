#!/usr/bin/env bash
# Half of the engines are killed during long answers while drafts (requests of priority
# batch) fill the queues. Shows that the long answers resume first, within 5 s, that
# drafts wait or are refused, and that the remaining engines never run more streams
# than they have permits.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
engine_flags=(--slots 64)
permits=8
start_site 70 3 4 1
apply_change "s/\"permits\":16/\"permits\":$permits/g"
wait_for_shares
long=() drafts=()
for i in $(seq 14); do
	long+=("long-$i")
	send_in_background "long-$i" $((i % daemons + 1)) fair 250 '"deadline_ms":10000'
done
sleep 1
for i in $(seq 90); do # 32 - 14 = 18 permits are free, 16 - 14 = 2 after two engines are killed; a draft runs 0.8 s
	drafts+=("draft-$i")
	send_in_background "draft-$i" $((i % daemons + 1)) school 40 '"priority":"batch","deadline_ms":12000'
done
sleep 1
kill_process engine-1
kill_process engine-2
wait_callers

complete=$(count_complete 250 "${long[@]}")
draft_complete=$(count_complete 40 "${drafts[@]}")
draft_refused=$(refusals "${drafts[@]}" | wc -l)
resumes=$(for i in $(seq "$daemons"); do curl -fsS "http://$(api_address "$i")/v1/events"; done | grep -o '"request":"long-[0-9]*","fields":{[^}]*"resume_ms":"[0-9]*"' | grep -o '"resume_ms":"[0-9]*' | grep -o '[0-9]*$' || true)
slowest=$(echo "$resumes" | quantile 100)
peak=0
for i in 3 4; do
	n=$(engine_work "$i" peak_running)
	[ "$n" -gt "$peak" ] && peak=$n
done
echo "proof: $complete of 14 answers complete, $(echo "$resumes" | grep -c .) resumed, slowest after $slowest ms; drafts: $draft_complete complete, $draft_refused refused of 90; at most $peak streams on a remaining engine with $permits permits"
[ "$complete" -eq 14 ] && [ "$slowest" != none ] && [ "$slowest" -lt 5000 ] && [ $((draft_complete + draft_refused)) -eq 90 ] && [ "$peak" -le "$permits" ]
