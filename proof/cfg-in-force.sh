#!/usr/bin/env bash
# An operator applies many changes to eight daemons under load and waits for each until
# it is active on all live daemons. Shows from the timeline the time between a change
# becoming active on the first and on the last daemon. CALLERS=0 runs without load.
source "$(dirname "$0")/../scripts/lib.sh"
command -v python3 >/dev/null || exit 77
changes=${CHANGES:-100}
callers=${CALLERS:-8}
daemon_settings='"event_ring":200000,'$daemon_settings # large enough for all events of the run
start_site 50 8 4 1
load() {
	while [ ! -e "$dir/stop" ]; do
		"${cli[@]}" generate --workspace fair --service pisar --prompt "p $1" --max-tokens 50 >/dev/null 2>&1 && echo ok >>"$dir/loaded" || true
	done
}
loads=()
for c in $(seq "$callers"); do
	load "$c" &
	loads+=("$!")
done
for n in $(seq "$changes"); do
	sed "s/\"name\":\"school\"/\"name\":\"school\",\"weight\":$n/" "$dir/site.json" >"$dir/next.json"
	"${cli[@]}" apply -f "$dir/next.json" --wait 6s --author proof >/dev/null
done
touch "$dir/stop"
[ "$callers" = 0 ] || wait "${loads[@]}"
"${cli[@]}" -o json timeline >"$dir/timeline.json"
# All processes share a wall clock. Hybrid times hold milliseconds above the low 16 bits.
python3 - "$dir/timeline.json" "$changes" "$callers" <<'PY'
import json, sys
events = json.load(open(sys.argv[1]))
accepted, in_force = {}, {}
for e in events:
    v = int((e.get("fields") or {}).get("version", 0))
    if e["name"] == "configuration_accepted":
        accepted[v] = e["time"] >> 16
    if e["name"] == "configuration_in_force":
        in_force.setdefault(e["node"], []).append((v, e["time"] >> 16))
# A version counts as active on a daemon when that or a later version became active.
def since(v):
    return [min((t for x, t in seen if x >= v), default=None) for seen in in_force.values()]
spans, missing = [], []
for v in accepted:
    times = since(v)
    if len(times) != 8 or None in times:
        missing.append(v)
    else:
        spans.append(max(times) - min(times))
spans.sort()
need = int(sys.argv[2])
at = lambda p: spans[min(len(spans) - 1, int(len(spans) * p))]
print(f"proof: {len(spans)} changes active on 8 daemons under load of {sys.argv[3]} callers; p50 {at(.5)} ms, p99 {at(.99)} ms, max {spans[-1]} ms (target 6000); not on all daemons: {len(missing)}")
sys.exit(0 if len(spans) >= need and not missing and spans[-1] <= 6000 else 1)
PY
