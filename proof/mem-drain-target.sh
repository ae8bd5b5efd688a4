#!/usr/bin/env bash
# The VM list marks the VM of an engine as leaving; later the configuration marks
# another engine. Shows that no daemon sends either new requests after 5 s.
source "$(dirname "$0")/../scripts/lib.sh"
put_site_vms() { # put_site_vms LEAVING: lists the VMs of daemons and engines; marks that of engine LEAVING
	local i list="" leaving
	for i in $(seq "$daemons"); do
		list+="{\"id\":\"vm-$i\",\"address\":\"127.$subnet.1.$i\",\"place\":\"$(place_of "$i")\",\"region\":\"osrednja\",\"labels\":{\"role\":\"entry\"}},"
	done
	for i in $(seq "$engines"); do
		leaving=false
		[ "$i" = "$1" ] && leaving=true
		list+="{\"id\":\"e-$i\",\"address\":\"127.$subnet.2.$i\",\"place\":\"$(place_of "$i")\",\"region\":\"osrednja\",\"leaving\":$leaving},"
	done
	curl -fsS -X PUT -d "[${list%,}]" "http://$platform/vms"
}
start_site 55 8 4 1
put_site_vms 0
for i in $(seq 4); do sed -i "s/\"name\":\"engine-$i\",/&\"vm\":\"e-$i\",/" "$dir/site.json"; done
"${cli[@]}" apply -f "$dir/site.json" --author proof --wait 6s >/dev/null
sleep 3
load() {
	local n=0
	while [ ! -e "$dir/stop" ]; do
		n=$((n + 1))
		"$bin/vanillaroad" -a "$(api_address "$1")" generate --id "d-$1-$n" --workspace fair --service pisar --prompt "p $1 $n" --max-tokens 3 >/dev/null 2>>"$dir/errors" || true
	done
}
loads=()
for i in $(seq 8); do
	load "$i" &
	loads+=($!)
done
sleep 2
marked=$(date +%s%3N)
put_site_vms 1
sleep 8
sed "s/\"name\":\"engine-2\",/&\"leaving\":true,/" "$dir/site.json" >"$dir/leaving.json"
marked2=$(date +%s%3N)
"${cli[@]}" apply -f "$dir/leaving.json" --author proof >/dev/null
sleep 7
touch "$dir/stop"
wait "${loads[@]}"
"${cli[@]}" -o json timeline >"$dir/timeline.json"
# last_start TARGET: prints the start of the last attempt on it, in Unix milliseconds
last_start() {
	tr -d ' \n' <"$dir/timeline.json" | sed 's/},{"time"/}\n{"time"/g' | grep '"name":"attempt_started"' | grep "\"target\":\"$1\"" |
		grep -o '"time":[0-9]*' | grep -o '[0-9]*' | sort -n | tail -n 1 | { read -r t; echo $((t >> 16)); }
}
last1=$(($(last_start engine-1) - marked)) last2=$(($(last_start engine-2) - marked2)) last3=$(($(last_start engine-3) - marked2))
echo "proof: last new request after the mark: by VM list $last1 ms, by configuration $last2 ms (limit 5000); an unmarked engine got requests until $last3 ms"
[ "$last1" -lt 5000 ] && [ "$last2" -lt 5000 ] && [ "$last3" -gt 5000 ]
