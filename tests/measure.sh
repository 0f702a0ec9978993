#!/bin/bash
# Compares the ledger policy with the two baselines on real processes: three
# zones, 13 daemons, 12 engines of different speeds, 3 desks, open-loop load.
# The three deployments run at the same time, so that other load on the machine
# affects them equally. Writes results.csv, table.txt and measure.png.
#
# usage: measure.sh BUILD_DIR [--quick]
#
# The environment variables MEASURE_POLICIES, MEASURE_SEEDS, MEASURE_LOADS and
# MEASURE_FAULTS replace the default lists. MEASURE_NET, from 1 to 7, selects
# the addresses, so that two measurements can run at the same time.
set -eu
build=$1
quick=${2:-}
out=$build/measure
seeds='1 2 3'
loads='0.5 1.0 1.5 2.0'
seconds=15
if test "$quick" = --quick
then
	seeds=1
	loads='0.5 2.0'
fi
policies=${MEASURE_POLICIES:-ledger two-choices round-robin}
seeds=${MEASURE_SEEDS:-$seeds}
loads=${MEASURE_LOADS:-$loads}
faults=${MEASURE_FAULTS-slow}
# Nominal capacity in calls a second: the rate at which prompts would use all
# prefill time of the engines if no prefix were cached. Each of the three zones
# has engines of 2000, 1000, 1000 and 500 tokens a second; a model call has 300
# prompt tokens, and 0.6 of all calls are model calls.
capacity=75
token=measure-operator-token
zones='toledo-yard erie-depot sandusky-shed'
rm -rf "$out"
mkdir -p "$out"

# use_net N: sets the addresses of deployment N.
use_net() {
	daemon_net=127.0.1$1
	runner_net=127.0.2$1
	platform=127.0.3$1.1:18200
}

# Prints "NAME ZONE N" for each of the 13 daemons.
list_daemons() {
	local n=0 zone count
	for zone in $zones
	do
		count=4
		test $zone != toledo-yard || count=5
		while test $count -gt 0
		do
			n=$((n + 1))
			count=$((count - 1))
			echo "daemon-$n $zone $n"
		done
	done
}

# Prints "NAME ZONE SERVICE N GENERATION" for each runner.
list_runners() {
	local n=0 zone generation
	for zone in $zones
	do
		for generation in 1 2 2 3
		do
			n=$((n + 1))
			echo "engine-$n $zone itinerary-model $n $generation"
		done
		n=$((n + 1))
		echo "desk-$n $zone booking-desk $n 1"
	done
}

write_vms() {
	local comma= name zone service n generation
	echo '['
	while read -r name zone n
	do
		printf '%s{"name":"%s","kind":"entry","region":"great-lakes",' \
			"$comma" "$name"
		printf '"zone":"%s","state":"live",' "$zone"
		printf '"address":"%s.%s:18201",' "$daemon_net" "$n"
		printf '"peer_address":"%s.%s:18202",' "$daemon_net" "$n"
		printf '"admin_address":"%s.%s:18203"}\n' "$daemon_net" "$n"
		comma=,
	done < <(list_daemons)
	while read -r name zone service n generation
	do
		printf ',{"name":"%s","kind":"runner","region":"great-lakes",' \
			"$name"
		printf '"zone":"%s","state":"live","service":"%s",' \
			"$zone" "$service"
		printf '"address":"%s.%s:18204","generation":%s,' \
			"$runner_net" "$n" "$generation"
		printf '"fencing":true}\n'
	done < <(list_runners)
	echo ']'
}

write_settings() {
	local alone=true
	test "$4" != ledger || alone=false
	cat <<-END
	{
		"name": "$1", "zone": "$2",
		"zones": ["toledo-yard", "erie-depot", "sandusky-shed"],
		"listen": "$daemon_net.$3:18201",
		"peer_listen": "$daemon_net.$3:18202",
		"admin_listen": "$daemon_net.$3:18203",
		"platform": "$platform",
		"peer_secret": "measure-peer-secret-0",
		"operator_token": "$token",
		"policy": "$4", "alone": $alone, "log_level": "warning",
		"config_poll_ms": 500, "vms_poll_ms": 500,
		"retry_horizon_ms": 3000, "accounts_ms": 5000
	}
	END
}

write_documents() {
	cat >"$1/profile.json" <<-END
	{
		"tiers": [
			{"name": "holds", "protected": true, "need_ms": 1000,
			 "objective": 0.999},
			{"name": "urgent", "protected": true, "need_ms": 1500,
			 "objective": 0.99},
			{"name": "tags", "weight": 3, "need_ms": 3000,
			 "objective": 0.95},
			{"name": "drafts", "weight": 1, "need_ms": 8000,
			 "objective": 0.9}
		],
		"teams": {},
		"other_teams": {"weight": 1, "rate_per_s": 2000, "burst": 4000,
				"concurrency": 4000}
	}
	END
	cat >"$1/itinerary-model.json" <<-END
	{"profile": "lakeshore", "kind": "engine", "idempotent": true,
	 "default_tier": "drafts", "window_tokens": 8000}
	END
	cat >"$1/booking-desk.json" <<-END
	{"profile": "lakeshore", "kind": "plain", "idempotent": false,
	 "default_tier": "holds", "slots": 8}
	END
	cat >"$1/mix.json" <<-END
	{"kinds": [
		{"service": "itinerary-model", "tier": "drafts",
		 "share": 0.3, "engine": true, "stream": true,
		 "prompt": [40, 4000], "output": [24, 96],
		 "deadline_ms": 8000},
		{"service": "itinerary-model", "tier": "tags", "share": 0.18,
		 "engine": true, "stream": true, "prompt": [30, 300],
		 "output": [4, 8], "deadline_ms": 3000},
		{"service": "itinerary-model", "tier": "urgent",
		 "share": 0.12, "engine": true, "stream": true,
		 "protected": true, "prompt": [30, 300], "output": [8, 24],
		 "deadline_ms": 1500},
		{"service": "booking-desk", "tier": "holds", "share": 0.4,
		 "path": "/holds", "protected": true, "guard": "ticket",
		 "deadline_ms": 1000}],
	 "teams": [{"name": "agents", "weight": 5},
		{"name": "clerks", "weight": 3}, {"name": "letters"},
		{"name": "disputes"}, {"name": "web"}],
	 "charters": 12}
	END
}

# start NAME PROGRAM ARGUMENT...
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids="$pids $!"
}

start_engine() {
	local rates
	case $3 in
	1) rates='--prefill=2000 --decode=60' ;;
	2) rates='--prefill=1000 --decode=40' ;;
	*) rates='--prefill=500 --decode=25' ;;
	esac
	start "$1" "$build/standin-engine" --listen="$2" --generation="$3" \
		$rates --half-batch=8 --slots=16 --kv-tokens=16000 \
		--cache-tokens=8000 --report-lag-ms=500
}

start_all() {
	local name zone service n generation
	write_vms >"$dir/vms.json"
	write_documents "$dir"
	start platform "$build/standin-platform" --listen="$platform" \
		--vms="$dir/vms.json"
	while read -r name zone service n generation
	do
		if test "$service" = itinerary-model
		then
			start_engine "$name" "$runner_net.$n:18204" "$generation"
			engines="$engines $runner_net.$n:18204"
		else
			start "$name" "$build/standin-desk" \
				--listen="$runner_net.$n:18204"
		fi
		oracles=$oracles${oracles:+,}$runner_net.$n:18204
	done < <(list_runners)
	while read -r name zone n
	do
		write_settings "$name" "$zone" "$n" "$policy" \
			>"$dir/$name.json"
		start "$name" "$build/papayad" "$dir/$name.json"
		targets=$targets${targets:+,}$daemon_net.$n:18201
	done < <(list_daemons)
}

publish_all() {
	local doc n tries=100
	until curl -sf "http://$platform/v1/vms" >"$dir/curl.out"
	do
		tries=$((tries - 1))
		test $tries -gt 0 || return 1
		sleep 0.1
	done
	for doc in profile/lakeshore:profile \
		service/itinerary-model:itinerary-model \
		service/booking-desk:booking-desk
	do
		"$build/papayactl" publish --platform="$platform" \
			--token=$token --by=measure --doc="${doc%%:*}" \
			"$dir/${doc##*:}.json" >>"$dir/publish.log" 2>&1
	done
	for n in 1 2 3 4 5 6 7 8 9 10 11 12 13
	do
		until curl -sf "http://$daemon_net.$n:18203/readyz" \
			>"$dir/curl.out"
		do
			tries=$((tries - 1))
			test $tries -gt 0 || return 1
			sleep 0.1
		done
	done
}

read_oracles() {
	local engine comma=
	echo '['
	for engine in $engines
	do
		printf '%s' "$comma"
		curl -sf "http://$engine/standin/oracle"
		comma=,
	done
	echo ']'
}

set_fault() {
	curl -sf -X POST -d "$2" "http://$1/standin/faults" >"$dir/curl.out"
}

# slow_one: slows one fast engine tenfold for the middle third of the run.
slow_one() {
	local engine=${engines# }
	engine=${engine%% *}
	sleep $((seconds / 3))
	set_fault "$engine" '{"slow": 10}'
	sleep $((seconds / 3))
	set_fault "$engine" '{"slow": 1}'
}

# run_load LOAD FAULT SEED: one run, which adds a row per tier to results.csv.
run_load() {
	local rate name="$1-$2-$3" fault_pid=
	# Request ids are derived from the seed, so every run needs its own.
	run=$((run + 1))
	rate=$(awk "BEGIN { print $capacity * $1 }")
	read_oracles >"$dir/$name.before"
	if test "$2" = slow
	then
		slow_one &
		fault_pid=$!
	fi
	"$build/standin-load" --targets="$targets" --mix="$dir/mix.json" \
		--rate="$rate" --seconds=$seconds --seed=$((run * 1000 + $3)) --repeats=0 \
		--verify="$oracles" --check-order --out="$dir/$name.json" \
		>"$dir/$name.log" 2>&1 || true
	test -z "$fault_pid" || wait $fault_pid
	read_oracles >"$dir/$name.after"
	"$build/tests/measure" row "$policy" "$1" "$2" "$3" \
		"$dir/$name.json" "$dir/$name.before" "$dir/$name.after" \
		>>"$dir/results.csv"
}

stop_all() {
	local pid
	for pid in $pids
	do
		kill -9 "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
}

# run_policy POLICY N: all runs of one policy, on the addresses of deployment N.
run_policy() {
	local load seed fault
	policy=$1
	dir=$out/$policy
	pids= targets= engines= oracles= run=0
	mkdir -p "$dir"
	use_net "$2"
	trap stop_all EXIT
	start_all
	publish_all
	# Warm-up, in which the daemons learn; left out of the results.
	run_load 0.5 warm-up 99
	for seed in $seeds
	do
		for load in $loads
		do
			run_load "$load" none "$seed"
		done
		for fault in $faults
		do
			run_load 0.8 "$fault" "$seed"
		done
	done
}

n=$((${MEASURE_NET:-1} - 1))
jobs=
for policy in $policies
do
	n=$((n + 1))
	(run_policy "$policy" $n) &
	jobs="$jobs $!"
done
status=0
for job in $jobs
do
	wait "$job" || status=1
done
test $status = 0 || { echo 'measure: a deployment failed'; exit 1; }
"$build/tests/measure" header >"$out/results.csv"
for policy in $policies
do
	grep -v warm-up "$out/$policy/results.csv" >>"$out/results.csv"
done
"$build/tests/measure" table "$out/results.csv" "$out/plot.dat" |
	tee "$out/table.txt"
gnuplot -e "data='$out/plot.dat'; picture='$out/measure.png'" \
	tests/measure.gnuplot
echo "wrote $out/results.csv, $out/table.txt and $out/measure.png"
