#!/usr/bin/env bash
# Runs the examples of docs/callers.md unchanged, with curl instead of the client
# library: an answer is interrupted and resumed at another daemon.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 18 2 2 1
warm_up
export DAEMON=$(api_address 1) OTHER=$(api_address 2)
cd "$dir"
sed -n '/^```sh$/,/^```$/p' "$root/docs/callers.md" | grep -v '^```' >examples.sh
bash -eu examples.sh >examples.out
texts() { sed -n 's/^data: .*"text":\("[^"]*"\).*/\1/p' "$1"; }
first=$(texts part.sse | wc -l) rest=$(texts rest.sse | wc -l)
echo "{\"tokens\":[$(cat <(texts part.sse) <(texts rest.sse) | paste -sd, -)]}" >answer.json
"$bin/standin" check --prompt "A stand profile" --length 200 answer.json
grep -q '^event: done' rest.sse
[ "$first" -gt 0 ] && [ "$rest" -gt 0 ]
decoded=$(($(sum_work decode_tokens) - daemons))
[ "$decoded" -eq 200 ]
echo "proof: $first tokens from one daemon and $rest from another form one complete answer; $decoded tokens decoded for 200"
