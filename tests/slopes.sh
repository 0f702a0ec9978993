#!/bin/bash
# Measures what one daemon costs (processor time, memory, bytes sent to peers)
# by the number of daemons in its zone, requests, teams and publications. All
# intervals and timeouts are the defaults of the settings. Prints one line a
# run, for docs/CAPACITY.md.
#
# usage: slopes.sh BUILD_DIR [SECONDS]
set -eu
build=$1
seconds=${2:-20}
. "$(dirname "$0")/cluster.sh"
cluster_init
ticks=$(getconf CLK_TCK)

metric() {
	curl -s http://127.0.1.1:$((port + 3))/metrics |
		awk -v name="$1" '$1 == name { print $2 }'
}

cpu_ticks() {
	awk '{ print $14 + $15 }' /proc/$1/stat
}

# cluster DAEMONS PROFILE: starts one zone with two engines and two desks
cluster() {
	local n
	vms=
	add_runner engine-1 yard 1 itinerary-model
	add_runner engine-2 yard 2 itinerary-model
	add_runner lookup yard 3 seat-lookup
	add_runner booking yard 4 booking-desk
	for n in 1 2
	do
		start "engine-$n" "$build/standin-engine" \
			--listen=127.0.2.$n:$((port + 4)) \
			--prefill=40000 --decode=400
	done
	for n in 3 4
	do
		start "desk-$n" "$build/standin-desk" --slots=64 \
			--listen=127.0.2.$n:$((port + 4))
	done
	for n in $(seq 1 "$1")
	do
		add_daemon "d$n" yard "$n"
	done
	start_platform
	for n in $(seq 1 "$1")
	do
		start_daemon "d$n" yard "$n" '"yard"' ''
		test "$n" != 1 || watched=$pid
	done
	publish profile/lakeshore "$2" >/dev/null
	publish service/itinerary-model demo/itinerary-model.json >/dev/null
	publish service/seat-lookup demo/seat-lookup.json >/dev/null
	publish service/booking-desk demo/booking-desk.json >/dev/null
	wait_ready $(seq 1 "$1")
	sleep 2
}

# observe LABEL: prints what daemon 1 uses in $seconds, then stops the cluster
observe() {
	local c0 c1 b0 b1
	c0=$(cpu_ticks $watched)
	b0=$(metric papaya_peer_bytes_out_total)
	sleep "$seconds"
	c1=$(cpu_ticks $watched)
	b1=$(metric papaya_peer_bytes_out_total)
	awk -v label="$1" -v c=$((c1 - c0)) -v b=$((b1 - b0)) -v s=$seconds \
		-v hz="$ticks" -v rss="$(awk '/VmRSS/ { print $2 }' \
			/proc/$watched/status)" 'BEGIN {
		printf "%-34s %6.2f %% of a core %7.1f MB %8.0f B/s to peers\n",
			label, 100 * c / hz / s, rss / 1024, b / s
	}'
	cluster_stop
}

teams_profile() {
	awk -v n="$1" 'BEGIN {
		print "{\"tiers\": [{\"name\": \"holds\", \"protected\": true," \
			"\"need_ms\": 2000}, {\"name\": \"lookups\"," \
			"\"protected\": true, \"need_ms\": 1000}," \
			"{\"name\": \"tags\", \"weight\": 3, \"need_ms\": 10000}," \
			"{\"name\": \"drafts\", \"need_ms\": 60000}], \"teams\": {"
		for (i = 1; i <= n; i++)
			printf "%s\"team-%05d\": {\"weight\": 1}\n",
				(i > 1) ? "," : "", i
		print "}}"
	}'
}

# load RATE: starts calls in the background, all through daemon 1
load() {
	start load "$build/standin-load" --targets=127.0.1.1:$((port + 1)) \
		--rate="$1" --seconds=$((seconds + 4)) --seed=1
	sleep 2
}

for n in ${DAEMONS:-2 5 10 20 40}
do
	cluster $n demo/profile.json
	observe "idle, $n daemons in the zone"
done
for rate in ${RATES:-10 20 40 80}
do
	cluster 3 demo/profile.json
	load $rate
	observe "$rate calls/s through one of 3"
done
for n in ${TEAMS:-100 1000 6000}
do
	teams_profile $n >"$work/profile.json"
	cluster 3 "$work/profile.json"
	observe "idle, $n teams"
done
cluster 3 demo/profile.json
(
	for i in $(seq 1 $((seconds)))
	do
		publish service/seat-lookup demo/seat-lookup.json
		sleep 0.8
	done
) >"$work/publish.log" 2>&1 &
pids="$pids $!"
observe "about one publication a second"
