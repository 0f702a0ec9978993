#!/bin/bash
# Demo on loopback: starts stand-ins and four daemons in two zones, publishes a
# profile, runs a short mixed load and prints papayactl's report.
#
# usage: demo.sh BUILD_DIR
set -eu
build=$1
. "$(dirname "$0")/cluster.sh"
cluster_init

daemons='toledo-1:toledo-yard:1 toledo-2:toledo-yard:2
	erie-1:erie-depot:3 erie-2:erie-depot:4'
runners='engine-t1:toledo-yard:1:itinerary-model
	engine-t2:toledo-yard:2:itinerary-model
	lookup-t:toledo-yard:3:seat-lookup
	booking-t:toledo-yard:4:booking-desk
	engine-e1:erie-depot:5:itinerary-model
	engine-e2:erie-depot:6:itinerary-model
	lookup-e:erie-depot:7:seat-lookup
	booking-e:erie-depot:8:booking-desk'
# Short intervals and timeouts keep the demo's waits short.
settings='"heartbeat_ms": 100, "heartbeat_timeout_ms": 600,
	"connect_timeout_ms": 300, "retry_horizon_ms": 3000,
	"clock_skew_ms": 100, "config_poll_ms": 200, "vms_poll_ms": 200,
	"accounts_ms": 1000'

upstreams=
for vm in $runners
do
	IFS=: read -r name zone n service <<<"$vm"
	address=127.0.2.$n:$((port + 4))
	upstreams=$upstreams${upstreams:+,}$address
	add_runner "$name" "$zone" "$n" "$service"
	if test "$service" = itinerary-model
	then
		start "$name" "$build/standin-engine" --listen=$address
	else
		start "$name" "$build/standin-desk" --listen=$address
	fi
done
targets=
for vm in $daemons
do
	IFS=: read -r name zone n <<<"$vm"
	add_daemon "$name" "$zone" "$n"
	targets=$targets${targets:+,}127.0.1.$n:$((port + 1))
done
start_platform
for vm in $daemons
do
	IFS=: read -r name zone n <<<"$vm"
	start_daemon "$name" "$zone" "$n" '"toledo-yard", "erie-depot"' \
		"$settings"
done
publish_demo
wait_ready 1 2 3 4
# Until new keys are created late enough after the daemons' start; earlier ones
# fall into the hold-off period and may be answered `unknown`.
sleep 4

echo "load: 10 s of mixed calls"
"$build/standin-load" --targets=$targets --rate=60 --seconds=10 --seed=1 \
	--verify=$upstreams --out="$work/load.json"

echo "the examples of docs/CALLERS.md:"
sed -n '/^```sh/,/^```/p' docs/CALLERS.md | grep -v '^```' >"$work/examples.sh"
export DAEMON=127.0.1.1:$((port + 1))
bash -euc 'curl() { command curl -f -m 10 "$@" && echo; }
	. "$0"' "$work/examples.sh" >"$work/examples.txt"
cut -c 1-76 "$work/examples.txt" | grep -v '^$' | head -n 4

# The daemons append their counts every second (accounts_ms).
sleep 2.5
"$build/papayactl" report --platform=$platform
