#!/usr/bin/env bash
# Every engine changes the model version during answers, and one engine is killed. The
# answers of the killed engine must not continue with the other version: they must end
# incomplete with an error. The other answers must be complete.
source "$(dirname "$0")/../scripts/lib.sh"
source "$root/scripts/generations.sh"
start_site 22 3 4 1
start_answers 1 12 400
wait_started 12
for i in 1 2 3 4; do curl -fsS -X POST -d '{"models":{"writer":"2"}}' "http://127.22.2.$i:8000/orders"; done
sed 's/"version":"1"/"version":"2"/' "$dir/site.json" >"$dir/site-2.json"
"${cli[@]}" apply -f "$dir/site-2.json" --base 1 --author proof >/dev/null
victim=$(busiest_engine)
kill_process "engine-$victim"
check_answers 1 12 400 >"$dir/checks"
lost=$(timeline | grep -A 8 '"name": "target_lost"' | grep -o '"request": "answer-[0-9]*"' | sort -u | wc -l)
reported=0
for i in $(seq 12); do
	grep -q target_lost "$dir/answer-$i.err" && reported=$((reported + 1))
done
mixed=0
for i in $(seq 12); do # the tokens of an incomplete answer are a correct prefix
	length=$(grep -c '\.' "$dir/answer-$i.json" || true)
	"$bin/standin" check --prompt "$(prompt_of "$i")" --length "$length" "$dir/answer-$i.json" >/dev/null 2>&1 || mixed=$((mixed + 1))
done
start_answers 13 14 50
old=$complete
check_answers 13 14 50
echo "proof: of 12 answers $old were completed with the old version, $reported of $lost that lost their engine ended incomplete with an error, $mixed mixed versions; $complete of 2 new ones ran on the new version"
[ "$lost" -gt 0 ] && [ "$reported" -eq "$lost" ] && [ $((old + reported)) -eq 12 ] && [ "$mixed" -eq 0 ] && [ "$complete" -eq 2 ]
