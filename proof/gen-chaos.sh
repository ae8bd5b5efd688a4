#!/usr/bin/env bash
# During 24 answers, engines and daemons are killed, restarted, paused and resumed at
# random, and connections become silent. Every answer must be complete. SEED selects
# the faults.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
RANDOM=${SEED:-1}
start_site 28 4 6 1
warm_up
start_answers 1 24 700
wait_started 24
engine_out=0 daemon_out=0
faults=""
for _ in $(seq 16); do # at most one engine and one daemon are killed or paused at a time
	case $((RANDOM % 6)) in
	0) # an engine is killed; the previous one is restored
		[ "$engine_out" -ne 0 ] && { kill -0 "$(pid_of "engine-$engine_out")" 2>/dev/null && resume_process "engine-$engine_out" || start_engine "$engine_out"; }
		engine_out=$((RANDOM % 6 + 1))
		kill_process "engine-$engine_out"
		faults+=" ek$engine_out"
		;;
	1) # an engine is paused; the previous one is restored
		[ "$engine_out" -ne 0 ] && { kill -0 "$(pid_of "engine-$engine_out")" 2>/dev/null && resume_process "engine-$engine_out" || start_engine "$engine_out"; }
		engine_out=$((RANDOM % 6 + 1))
		pause_process "engine-$engine_out"
		faults+=" ep$engine_out"
		;;
	2)
		[ "$daemon_out" -ne 0 ] && { kill -0 "$(pid_of "vm-$daemon_out")" 2>/dev/null && resume_process "vm-$daemon_out" || start_daemon "$daemon_out"; }
		daemon_out=$((RANDOM % 4 + 1))
		kill_process "vm-$daemon_out"
		faults+=" dk$daemon_out"
		;;
	3)
		[ "$daemon_out" -ne 0 ] && { kill -0 "$(pid_of "vm-$daemon_out")" 2>/dev/null && resume_process "vm-$daemon_out" || start_daemon "$daemon_out"; }
		daemon_out=$((RANDOM % 4 + 1))
		pause_process "vm-$daemon_out"
		faults+=" dp$daemon_out"
		;;
	4)
		silent=$((RANDOM % 6 + 1))
		curl -fsS --max-time 1 -X PUT -d '{"silent_streams":true}' "http://127.28.2.$silent:8000/faults" 2>/dev/null || true
		faults+=" es$silent"
		;;
	5) faults+=" -" ;;
	esac
	sleep 1
done
[ "$engine_out" -ne 0 ] && { resume_process "engine-$engine_out" 2>/dev/null || true; }
[ "$daemon_out" -ne 0 ] && { resume_process "vm-$daemon_out" 2>/dev/null || true; }
check_answers 1 24 700
report "seed ${SEED:-1}, faults$faults"
