#!/usr/bin/env bash
# Drafts use all permits that are open to them and fill the queues. Shows that
# confirmations and urgent requests still run immediately and that no draft is lost.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
engine_flags=(--slots 64)
start_site 72 3 2 1
apply_change 's/"permits":16/"permits":6,"reserved":3/g'
wait_for_shares
drafts=() urgent=()
for i in $(seq 30); do # 6 permits are open to drafts, which run 1 s each
	drafts+=("draft-$i")
	send_in_background "draft-$i" $((i % daemons + 1)) fair 50 '"priority":"batch","deadline_ms":20000'
done
sleep 0.5
for i in $(seq 12); do
	urgent+=("urgent-$i")
	send_in_background "urgent-$i" $((i % daemons + 1)) school 10 '"priority":"urgent"'
	key=$(curl -fsS -X POST "http://$(api_address $((i % daemons + 1)))/v1/confirmation-keys" | grep -o '"key":"[^"]*"' | cut -d '"' -f 4)
	curl -sS -o "$dir/confirm-$i.json" -w '%{http_code} %{time_starttransfer} %{time_total}\n' -H 'Content-Type: application/json' \
		"http://$(api_address $((i % daemons + 1)))/v1/confirmations" \
		-d "{\"key\":\"$key\",\"workspace\":\"school\",\"service\":\"sejemski-vpis\",\"body\":\"stand $i\"}" >"$dir/confirm-$i.http"
	sleep 0.2
done
wait_callers

ran=$(cat "$dir"/confirm-*.json | grep -c '"outcome":"ran"' || true)
[ "$ran" -eq 12 ] || cat "$dir"/confirm-*.json
confirm_max=$(cut -d ' ' -f 3 "$dir"/confirm-*.http | awk '{ printf "%d\n", $1 * 1000 }' | quantile 100)
urgent_complete=$(count_complete 10 "${urgent[@]}")
urgent_max=$(first_token_ms "${urgent[@]}" | quantile 100)
draft_complete=$(count_complete 50 "${drafts[@]}")
slowest=$(for d in "${drafts[@]}"; do cut -d ' ' -f 3 "$dir/$d.http"; done | awk '{ printf "%d\n", $1 * 1000 }' | quantile 100)
echo "proof: beside 30 queued drafts, $ran of 12 confirmations ran, slowest $confirm_max ms; $urgent_complete of 12 urgent answers complete, first token at most $urgent_max ms;" \
	"$draft_complete of 30 drafts complete, the last after $slowest ms"
[ "$ran" -eq 12 ] && [ "$urgent_complete" -eq 12 ] && [ "$draft_complete" -eq 30 ] && [ "$confirm_max" -lt 500 ] && [ "$urgent_max" -lt 500 ] && [ "$slowest" -gt 3000 ]
