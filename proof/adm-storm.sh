#!/usr/bin/env bash
# Half of the engines die under running answers while drafts fill every queue:
# the answers go on first, within 5 s, the drafts wait or are told, and the
# engines that are left never run more than their permits.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
engine_flags=(--slots 64)
permits=8
site 70 3 4 1
change_document "s/\"permits\":16/\"permits\":$permits/g"
settle
long=() drafts=()
for i in $(seq 14); do
	long+=("long-$i")
	ask_behind "long-$i" $((i % daemons + 1)) fair 250 '"deadline_ms":10000'
done
sleep 1
for i in $(seq 90); do # 18 permits are left, 10 once the engines are dead; 0.8 s each
	drafts+=("draft-$i")
	ask_behind "draft-$i" $((i % daemons + 1)) school 40 '"priority":"batch","deadline_ms":12000'
done
sleep 1
kill_process engine-1
kill_process engine-2
wait_callers

whole=$(count_whole 250 "${long[@]}")
draft_whole=$(count_whole 40 "${drafts[@]}")
draft_refused=$(refusals "${drafts[@]}" | wc -l)
resumes=$(for i in $(seq "$daemons"); do curl -fsS "http://$(api_of "$i")/v1/events"; done | grep -o '"request":"long-[0-9]*","fields":{[^}]*"resume_ms":"[0-9]*"' | grep -o '"resume_ms":"[0-9]*' | grep -o '[0-9]*$' || true)
slowest=$(echo "$resumes" | quantile 100)
peak=0
for i in 3 4; do
	n=$(work_of "$i" peak_running)
	[ "$n" -gt "$peak" ] && peak=$n
done
echo "proof: $whole of 14 answers whole, $(echo "$resumes" | grep -c .) resumed, slowest after $slowest ms; drafts: $draft_whole whole, $draft_refused refused of 90; most running on an engine that is left $peak of $permits permits"
[ "$whole" -eq 14 ] && [ "$slowest" != none ] && [ "$slowest" -lt 5000 ] && [ $((draft_whole + draft_refused)) -eq 90 ] && [ "$peak" -le "$permits" ]
