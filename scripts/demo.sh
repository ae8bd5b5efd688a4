#!/usr/bin/env bash
# Starts a platform, four engines, a booking service and three daemons as separate
# processes, kills the engine that runs an answer and shows that the answer is still
# complete.
source "$(dirname "$0")/lib.sh"

echo "== an operator applies the configuration"
start_site 9 3 4 1
echo "== a caller queries the directory"
"${cli[@]}" directory --place paviljon-sever

echo "== a long answer; its engine is killed in the middle"
prompt="Draft a stand profile for a bakery that hires apprentices."
"${cli[@]}" -o json generate --id demo-1 --workspace fair --service pisar --prompt "$prompt" --max-tokens 200 >"$dir/answer.json" &
caller=$!
victim=""
for _ in $(seq 100); do
	victim=$("${cli[@]}" -o json timeline --request demo-1 2>/dev/null | grep -o '"target": "engine-[0-9]"' | head -n 1 | grep -o 'engine-[0-9]') || true
	[ -n "$victim" ] && break
	sleep 0.05
done
sleep 1.5
echo "killing $victim"
kill_process "$victim"
wait "$caller"
"$bin/standin" check --prompt "$prompt" --length 200 "$dir/answer.json"

echo "== a confirmation"
"${cli[@]}" confirm --workspace fair --service sejemski-vpis --body "stand 12 for fair"
curl -fsS "http://127.9.3.1:9000/ledger"

echo "== the timeline"
"${cli[@]}" timeline
resume=$("${cli[@]}" -o json timeline --request demo-1 | grep -o '"resume_ms": "[0-9]*"' | grep -o '[0-9]*' | head -n 1)
echo "resume latency: ${resume:?the answer was not resumed} ms"
for i in 1 2 3; do stop_process "vm-$i"; done
echo "demo passed"
