# Functions for the load proofs. Source it after lib.sh; call start_site before load.
addresses_of() { # addresses_of PREFIX COUNT PORT: prints a comma-separated list
	local i list=""
	for i in $(seq "$2"); do list+="$1.$i:$3,"; done
	echo "${list%,}"
}
wait_for_shares() { sleep 3; } # daemons share out permits some time after they have joined
load() { # load FLAGS...: runs vanillaroad-load against all processes of the site
	"$bin/vanillaroad-load" -a "$addresses" --places "$(IFS=,; echo "${places[*]}")" \
		--engines "$(addresses_of "127.$subnet.2" "$engines" 8000)" \
		--bookings "$(addresses_of "127.$subnet.3" "$bookings" 9000)" \
		--platform "$platform" "$@"
}
