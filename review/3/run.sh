#!/usr/bin/env bash
# Plays this case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# Before: the build of deploy/system.toml, and review/build.sh. TROUBLE=0 leaves the
# disruption out.
here=$(cd "$(dirname "$0")" && pwd)
REPOSITORY=$(cd "$here/../.." && pwd)
export REPOSITORY
if [ ! -x "$REPOSITORY/review/bin/harness" ] || [ ! -x "$REPOSITORY/target/vanillaroad-gateway" ]; then
	echo "not built: the build line of deploy/system.toml and review/build.sh come first" >&2
	exit 2
fi
timeout -k 2 118 "$REPOSITORY/review/bin/harness" silent-then-stop "$here"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
