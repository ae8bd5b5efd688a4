# Shared by the load proofs. Source it after lib.sh; call `site` before `load`.
addresses_of() { # addresses_of PREFIX COUNT PORT: comma-separated
	local i list=""
	for i in $(seq "$2"); do list+="$1.$i:$3,"; done
	echo "${list%,}"
}
settle() { sleep 3; } # permits are shared out a while after the daemons came
load() { # load FLAGS...: runs vanillaroad-load against the whole site
	"$bin/vanillaroad-load" -a "$addresses" --places "$(IFS=,; echo "${places[*]}")" \
		--engines "$(addresses_of "127.$subnet.2" "$engines" 8000)" \
		--bookings "$(addresses_of "127.$subnet.3" "$bookings" 9000)" \
		--platform "$platform" "$@"
}
