# Shared by the proofs of generations: starts answers side by side, waits for
# them, checks each and sums up. Source it after lib.sh.
prompt_of() { echo "Draft stand profile $1 for a bakery that hires apprentices. ${2:-}"; }

start_answers() { # start_answers FIRST LAST LENGTH: answers FIRST..LAST in the background
	local i
	for i in $(seq "$1" "$2"); do
		"${road[@]}" -o json generate --id "answer-$i" --workspace fair --service pisar \
			--prompt "$(prompt_of "$i")" --max-tokens "$3" >"$dir/answer-$i.json" 2>"$dir/answer-$i.err" &
		callers[$i]=$!
	done
}

check_answers() { # check_answers FIRST LAST LENGTH: sets whole, failed and widest (ms)
	local i gap
	whole=0 failed=0 widest=0
	for i in $(seq "$1" "$2"); do
		wait "${callers[$i]}" || true
		if "$bin/standin" check --prompt "$(prompt_of "$i")" --length "$3" "$dir/answer-$i.json" >"$dir/check-$i" 2>&1; then
			whole=$((whole + 1))
			gap=$(grep -o 'saw: [0-9]*' "$dir/check-$i" | grep -o '[0-9]*')
			[ "$gap" -gt "$widest" ] && widest=$gap
		else
			failed=$((failed + 1))
			echo "answer $i: $(cat "$dir/check-$i" "$dir/answer-$i.err")"
		fi
	done
	return 0
}

busiest_engine() { # the engine with the most streams running
	local i best=1 most=-1 n
	for i in $(seq "$engines"); do
		n=$(curl -fsS --max-time 1 "http://127.$subnet.2.$i:8000/health" 2>/dev/null | grep -o '"running":[0-9]*' | grep -o '[0-9]*') || n=-1
		[ "${n:--1}" -gt "$most" ] && most=$n best=$i
	done
	echo "$best"
}

busiest_daemon() { # the daemon with the most generations
	local i best=1 most=-1 n
	for i in $(seq "$daemons"); do
		n=$("$bin/vanillaroad" -a "$(api_of "$i")" status | grep -o '"active_generations": [0-9]*' | grep -o '[0-9]*')
		[ "$n" -gt "$most" ] && most=$n best=$i
	done
	echo "$best"
}

timeline() { "${road[@]}" -o json timeline 2>/dev/null || true; }
count_events() { timeline | grep -c "\"name\": \"$1\"" || true; }
most_resume_ms() { timeline | grep -o '"resume_ms": "[0-9]*"' | grep -o '[0-9]*' | sort -n | tail -n 1; }
sum_work() { # sum_work FIELD: over all engines that answer
	local i n sum=0
	for i in $(seq "$engines"); do
		n=$(curl -fsS --max-time 1 "http://127.$subnet.2.$i:8000/work" 2>/dev/null | grep -o "\"$1\":[0-9]*" | grep -o '[0-9]*$') || n=0
		sum=$((sum + ${n:-0}))
	done
	echo "$sum"
}

running() { # requests that run on engines; fails if one does not answer
	local i n sum=0
	for i in $(seq "$engines"); do
		n=$(curl -fsS "http://127.$subnet.2.$i:8000/health" | grep -o '"running":[0-9]*' | grep -o '[0-9]*')
		sum=$((sum + n))
	done
	echo "$sum"
}

poison() { # poison ID DAEMON: a request that crashes the engine which runs it
	"$bin/vanillaroad" -a "$(api_of "$2")" -o json generate --id "$1" --workspace fair --service pisar \
		--prompt "stand 7 CRASH-THE-ENGINE" --max-tokens 50 2>&1 || true
}

count_dead() { # count_dead ENGINES: how many of them have ended
	local i dead=0
	for i in $(seq "$1"); do kill -0 "$(pid_of "engine-$i")" 2>/dev/null || dead=$((dead + 1)); done
	echo "$dead"
}

verdict() { # verdict TEXT: prints the line and exits 0 when every answer was whole
	echo "proof: $whole whole, $failed not; widest gap a caller saw $widest ms; $1"
	[ "$failed" -eq 0 ]
}

wait_underway() { # wait_underway STREAMS: until so many run on engines and brought 20 tokens each
	local _ streams tokens
	for _ in $(seq 100); do
		streams=$(sum_work streams) tokens=$(sum_work decode_tokens)
		[ "$streams" -ge "$1" ] && [ "$tokens" -ge $(($1 * 20)) ] && return 0
		sleep 0.1
	done
	echo "only $streams streams and $tokens tokens came under way"
	exit 1
}

warm_up() { # one short answer by each daemon, so that none starts cold
	local i
	for i in $(seq "$daemons"); do
		curl -sSN -H 'Content-Type: application/json' \
			-d "{\"id\":\"warm-$i\",\"workspace\":\"fair\",\"service\":\"pisar\",\"prompt\":\"w\",\"max_tokens\":1,\"seed\":1}" \
			"http://$(api_of "$i")/v1/generations" >/dev/null
	done
}
