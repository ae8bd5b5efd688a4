#!/usr/bin/env bash
# Callers resend their request to another daemon, with the same id and no cursor, while
# the first run continues. Shows that both callers get the same complete answer and
# that the engines generate it only once.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 19 3 4 1
# The directory would direct all callers to one daemon, so the script calls each daemon
# by its address.
generate_at() { # generate_at DAEMON ANSWER FILE
	curl -sSN -H 'Content-Type: application/json' \
		-d "{\"id\":\"answer-$2\",\"workspace\":\"fair\",\"service\":\"pisar\",\"prompt\":\"$(prompt_of "$2")\",\"max_tokens\":200,\"seed\":1}" \
		"http://$(api_address "$1")/v1/generations" | sed -n 's/^data: .*"text":\("[^"]*"\).*/\1/p' >"$dir/$3"
}
for i in $(seq 8); do generate_at 1 "$i" "first-$i" & waits[$i]=$!; done
wait_started 8
sleep 1.5
for i in $(seq 8); do generate_at 2 "$i" "second-$i" & again[$i]=$!; done
complete=0 failed=0 widest_gap=0
for i in $(seq 8); do
	wait "${waits[$i]}" "${again[$i]}"
	echo "{\"tokens\":[$(paste -sd, - <"$dir/second-$i")]}" >"$dir/second-$i.json"
	if "$bin/standin" check --prompt "$(prompt_of "$i")" --length 200 "$dir/second-$i.json" >"$dir/check" 2>&1 && cmp -s "$dir/first-$i" "$dir/second-$i"; then
		complete=$((complete + 1))
	else
		failed=$((failed + 1))
		cat "$dir/check"
	fi
done
decoded=$(sum_work decode_tokens)
echo "proof: $complete answers were complete and equal at two daemons, $failed not; $decoded tokens decoded for 1600 in $(sum_work streams) streams"
[ "$failed" -eq 0 ] && [ "$decoded" -eq 1600 ]
