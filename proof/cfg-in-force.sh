#!/usr/bin/env bash
# Eight daemons under load; an operator makes many changes, each waited for until
# it is in force on all live daemons. Shows the time until in force, from the
# time line: last daemon's "in force" minus the first's. CALLERS=0 for no load.
source "$(dirname "$0")/../scripts/lib.sh"
command -v python3 >/dev/null || exit 77
changes=${CHANGES:-100}
callers=${CALLERS:-8}
daemon_settings='"event_ring":200000,'$daemon_settings # keep every event of the run
site 50 8 4 1
load() {
	while [ ! -e "$dir/stop" ]; do
		"${road[@]}" generate --workspace fair --service pisar --prompt "p $1" --max-tokens 50 >/dev/null 2>&1 && echo ok >>"$dir/loaded" || true
	done
}
loads=()
for c in $(seq "$callers"); do
	load "$c" &
	loads+=("$!")
done
for n in $(seq "$changes"); do
	sed "s/\"name\":\"school\"/\"name\":\"school\",\"weight\":$n/" "$dir/site.json" >"$dir/next.json"
	"${road[@]}" apply -f "$dir/next.json" --wait 6s --author proof >/dev/null
done
touch "$dir/stop"
[ "$callers" = 0 ] || wait "${loads[@]}"
"${road[@]}" -o json timeline >"$dir/timeline.json"
# Wall clock of one machine; hybrid time holds milliseconds above 16 bits.
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
# A daemon that fetched a later version has the earlier one in force with it.
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
print(f"proof: {len(spans)} changes in force on 8 daemons under load of {sys.argv[3]} callers; p50 {at(.5)} ms, p99 {at(.99)} ms, max {spans[-1]} ms (target 6000); not on all: {len(missing)}")
sys.exit(0 if len(spans) >= need and not missing and spans[-1] <= 6000 else 1)
PY
