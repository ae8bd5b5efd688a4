#!/usr/bin/env bash
# The share of the new system goes 0, 50, 100: at 0 and 100 one side gets all
# work, and at each step only requests of the difference change sides.
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/admission.sh"
daemon_settings='"membership":{"directory_ttl":"1s"},"generation":{"retention":"1s"}'
site 74 3 4 1
change_document 's/"name":"engine-\([12]\)"/"name":"engine-\1","system":"old"/g' 's/"new_share":100/"new_share":0/'
settle
requests=120
round() { # round NAME: asks every request under its key and notes its side
	local i
	names=()
	for i in $(seq "$requests"); do
		names+=("key-$i")
		ask_behind "key-$i" $((i % daemons + 1)) fair 1
		[ $((i % 20)) -eq 0 ] && wait_callers
	done
	wait_callers
	[ "$(count_whole 1 "${names[@]}")" -eq "$requests" ] || { echo "round $1: answers missing"; exit 1; }
	for i in $(seq "$daemons"); do
		curl -fsS "http://$(api_of "$i")/v1/events" | grep -o '"name":"attempt_started","request":"key-[0-9]*","fields":{[^}]*}'
	done | sed 's/.*"request":"\(key-[0-9]*\)".*"target":"engine-\([0-9]\)".*/\1 \2/' >"$dir/all-$1"
	awk '{ side[$1] = $2 <= 2 ? "old" : "new" } END { for (k in side) print k, side[k] }' "$dir/all-$1" | sort >"$dir/sides-$1"
}
# An answer is kept for a while under its id, so that each round starts from
# daemons that hold none.
forget() { sleep 4; }
round zero
forget
change_document 's/"new_share":0/"new_share":50/'
round fifty
forget
round again
forget
change_document 's/"new_share":50/"new_share":100/'
round hundred
on_new() { grep -c ' new$' "$dir/sides-$1" || true; }
moved_back() { join "$dir/sides-$1" "$dir/sides-$2" | awk '$2 == "new" && $3 == "old"' | wc -l; }
changed=$(join "$dir/sides-fifty" "$dir/sides-again" | awk '$2 != $3' | wc -l)
back=$(($(moved_back zero fifty) + $(moved_back again hundred)))
echo "proof: of $requests requests on the new system: $(on_new zero) at 0 %, $(on_new fifty) at 50 %, $(on_new hundred) at 100 %; sides changed while the share stayed: $changed; moved back to the old one: $back"
[ "$(on_new zero)" -eq 0 ] && [ "$(on_new hundred)" -eq "$requests" ] && [ "$changed" -eq 0 ] && [ "$back" -eq 0 ] &&
	[ "$(on_new fifty)" -gt $((requests * 3 / 10)) ] && [ "$(on_new fifty)" -lt $((requests * 7 / 10)) ]
