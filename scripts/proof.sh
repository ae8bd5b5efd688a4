#!/usr/bin/env bash
# Runs the process-level proofs, proof/*.sh, one after another and prints a table of
# the results. Exit status 0 of a proof means passed, 77 not run, any other failed.
# Usage: scripts/proof.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/.."
names=("$@")
[ ${#names[@]} -gt 0 ] || names=($(cd proof && ls ./*.sh 2>/dev/null | sed 's|^\./||; s|\.sh$||'))
mkdir -p tmp/proof
status=0
for name in "${names[@]}"; do
	begin=$(date +%s)
	./proof/"$name".sh >"tmp/proof/$name.log" 2>&1
	case $? in
	0) verdict="pass" ;;
	77) verdict="not run" status=1 ;;
	*) verdict="FAIL" status=1 ;;
	esac
	row=$(printf '%-28s %-8s %4d s  %s' "$name" "$verdict" $(($(date +%s) - begin)) "$(grep '^proof: ' "tmp/proof/$name.log" | tail -n 1 | sed 's/^proof: //')")
	echo "$row"
done
exit $status
