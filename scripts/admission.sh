# Functions for the proofs of admission and routing. They send requests with curl, so
# that no client library retries, and evaluate the answers. Source it after lib.sh.
callers=()

send_generation() { # send_generation NAME DAEMON WORKSPACE TOKENS [JSON MEMBERS]: sends one generation; writes NAME.sse and NAME.http
	curl -sS -N --max-time 120 -o "$dir/$1.sse" -w '%{http_code} %{time_starttransfer} %{time_total}\n' \
		-H 'Content-Type: application/json' "http://$(api_address "$2")/v1/generations" \
		-d "{\"id\":\"$1\",\"workspace\":\"$3\",\"service\":\"pisar\",\"prompt\":\"Draft stand profile $1.\",\"max_tokens\":$4${5:+,$5}}" \
		>"$dir/$1.http" 2>"$dir/$1.err" || true
}
send_in_background() { # send_in_background ARGUMENTS...: runs send_generation in the background
	send_generation "$@" &
	callers+=("$!")
}
wait_callers() {
	local p
	for p in "${callers[@]}"; do wait "$p" || true; done
	callers=()
}
status_of() { cut -d ' ' -f 1 "$dir/$1.http"; }
is_complete() { # is_complete NAME TOKENS: succeeds if every position came once and in order, then done
	grep '^data: ' "$dir/$1.sse" | grep -o '"position":[0-9]*' | cut -d : -f 2 |
		awk -v n="$2" '$1 != NR - 1 { bad = 1 } END { exit bad || NR != n + 1 }' && grep -q '^event: done' "$dir/$1.sse"
}
count_complete() { # count_complete TOKENS NAMES...
	local name n=0 tokens=$1
	shift
	for name in "$@"; do is_complete "$name" "$tokens" && n=$((n + 1)); done
	echo "$n"
}
# refusals NAMES...: prints "milliseconds retry_after_ms" of each refused request. A
# request is refused by its status, or by an event if it was queued first.
refusals() {
	local name
	for name in "$@"; do
		[ "$(status_of "$name")" = 429 ] || grep -q '"outcome":"not_run"' "$dir/$name.sse" || continue
		echo "$(cut -d ' ' -f 3 "$dir/$name.http" | awk '{ printf "%d", $1 * 1000 }') $(grep -o '"retry_after_ms":[0-9]*' "$dir/$name.sse" | cut -d : -f 2)"
	done
}
quantile() { # quantile PERCENT: prints the quantile of the numbers on standard input
	sort -n | awk -v q="$1" '{ v[NR] = $1 } END { i = int(NR * q / 100 + 0.999999); if (i < 1) i = 1; print NR ? v[i] : "none" }'
}
first_token_ms() { # first_token_ms NAMES...: prints the time to first byte, one line per request
	local name
	for name in "$@"; do cut -d ' ' -f 2 "$dir/$name.http" | awk '{ printf "%d\n", $1 * 1000 }'; done
}
engine_work() { curl -fsS "http://127.$subnet.2.$1:8000/work" | grep -o "\"$2\":[0-9]*" | cut -d : -f 2; } # engine_work ENGINE FIELD
load_of() { curl -fsS "http://127.$subnet.2.$1:8000/health" | grep -o "\"$2\":[0-9]*" | cut -d : -f 2; }
peak_running() { # prints the maximum number of streams that any engine ran at once
	local i most=0 n
	for i in $(seq "$engines"); do
		n=$(engine_work "$i" peak_running)
		[ "$n" -gt "$most" ] && most=$n
	done
	echo "$most"
}
version=1
apply_change() { # apply_change SED-EXPRESSION...: edits and applies site.json and waits until it is active
	local e
	for e in "$@"; do sed -i "$e" "$dir/site.json"; done
	"${cli[@]}" apply -f "$dir/site.json" --author "$(basename "$0")" >/dev/null
	version=$((version + 1))
	wait_active "$version" $(seq "$daemons")
}
wait_for_shares() { sleep 3; } # daemons use their permit shares once the fleet has not changed for grow_delay
