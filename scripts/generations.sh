# Functions for the proofs of generations. They run answers concurrently, wait for
# them and check each one. Source it after lib.sh.
prompt_of() { echo "Draft stand profile $1 for a bakery that hires apprentices. ${2:-}"; }

start_answers() { # start_answers FIRST LAST LENGTH: starts answers FIRST to LAST in the background
	local i
	for i in $(seq "$1" "$2"); do
		"${cli[@]}" -o json generate --id "answer-$i" --workspace fair --service pisar \
			--prompt "$(prompt_of "$i")" --max-tokens "$3" >"$dir/answer-$i.json" 2>"$dir/answer-$i.err" &
		callers[$i]=$!
	done
}

check_answers() { # check_answers FIRST LAST LENGTH: waits for answers; sets complete, failed and widest_gap (ms)
	local i gap
	complete=0 failed=0 widest_gap=0
	for i in $(seq "$1" "$2"); do
		wait "${callers[$i]}" || true
		if "$bin/standin" check --prompt "$(prompt_of "$i")" --length "$3" "$dir/answer-$i.json" >"$dir/check-$i" 2>&1; then
			complete=$((complete + 1))
			gap=$(grep -o 'saw: [0-9]*' "$dir/check-$i" | grep -o '[0-9]*')
			[ "$gap" -gt "$widest_gap" ] && widest_gap=$gap
		else
			failed=$((failed + 1))
			echo "answer $i: $(cat "$dir/check-$i" "$dir/answer-$i.err")"
		fi
	done
	return 0
}

busiest_engine() { # prints the engine with the most running streams
	local i best=1 most=-1 n
	for i in $(seq "$engines"); do
		n=$(curl -fsS --max-time 1 "http://127.$subnet.2.$i:8000/health" 2>/dev/null | grep -o '"running":[0-9]*' | grep -o '[0-9]*') || n=-1
		[ "${n:--1}" -gt "$most" ] && most=$n best=$i
	done
	echo "$best"
}

busiest_daemon() { # prints the daemon with the most active generations
	local i best=1 most=-1 n
	for i in $(seq "$daemons"); do
		n=$("$bin/vanillaroad" -a "$(api_address "$i")" status | grep -o '"active_generations": [0-9]*' | grep -o '[0-9]*')
		[ "$n" -gt "$most" ] && most=$n best=$i
	done
	echo "$best"
}

timeline() { "${cli[@]}" -o json timeline 2>/dev/null || true; }
count_events() { timeline | grep -c "\"name\": \"$1\"" || true; }
most_resume_ms() { timeline | grep -o '"resume_ms": "[0-9]*"' | grep -o '[0-9]*' | sort -n | tail -n 1; }
sum_work() { # sum_work FIELD: prints the sum of a counter over all engines that answer
	local i n sum=0
	for i in $(seq "$engines"); do
		n=$(curl -fsS --max-time 1 "http://127.$subnet.2.$i:8000/work" 2>/dev/null | grep -o "\"$1\":[0-9]*" | grep -o '[0-9]*$') || n=0
		sum=$((sum + ${n:-0}))
	done
	echo "$sum"
}

running_requests() { # prints the number of requests running on engines; fails if an engine does not answer
	local i n sum=0
	for i in $(seq "$engines"); do
		n=$(curl -fsS "http://127.$subnet.2.$i:8000/health" | grep -o '"running":[0-9]*' | grep -o '[0-9]*')
		sum=$((sum + n))
	done
	echo "$sum"
}

send_poison() { # send_poison ID DAEMON: sends a request that crashes the engine which runs it
	"$bin/vanillaroad" -a "$(api_address "$2")" -o json generate --id "$1" --workspace fair --service pisar \
		--prompt "stand 7 CRASH-THE-ENGINE" --max-tokens 50 2>&1 || true
}

count_dead() { # count_dead ENGINES: prints how many of the first ENGINES engines have terminated
	local i dead=0
	for i in $(seq "$1"); do kill -0 "$(pid_of "engine-$i")" 2>/dev/null || dead=$((dead + 1)); done
	echo "$dead"
}

report() { # report TEXT: prints the result; succeeds if every answer was complete
	echo "proof: $complete answers complete, $failed not; widest gap seen by a caller $widest_gap ms; $1"
	[ "$failed" -eq 0 ]
}

wait_started() { # wait_started STREAMS: waits until STREAMS streams have started, with 20 tokens each on average
	local _ streams tokens
	for _ in $(seq 100); do
		streams=$(sum_work streams) tokens=$(sum_work decode_tokens)
		[ "$streams" -ge "$1" ] && [ "$tokens" -ge $(($1 * 20)) ] && return 0
		sleep 0.1
	done
	echo "only $streams streams started, with $tokens tokens"
	exit 1
}

warm_up() { # runs one short answer on each daemon, so that no measurement includes a cold start
	local i
	for i in $(seq "$daemons"); do
		curl -sSN -H 'Content-Type: application/json' \
			-d "{\"id\":\"warm-$i\",\"workspace\":\"fair\",\"service\":\"pisar\",\"prompt\":\"w\",\"max_tokens\":1,\"seed\":1}" \
			"http://$(api_address "$i")/v1/generations" >/dev/null
	done
}
