#!/bin/bash
# Runs the main job on loopback: stand-ins, four daemons in two zones, one
# profile, a short mixed load, and the product's own report.
#
# usage: demo.sh BUILD_DIR
set -eu
build=$1
work=$(mktemp -d "${TMPDIR:-/tmp}/papaya-demo.XXXXXX")
pids=
token=demo-operator-token
platform=127.0.9.1:18000

finish() {
	status=$?
	for pid in $pids
	do
		kill "$pid" 2>/dev/null || true
	done
	for pid in $pids
	do
		wait "$pid" 2>/dev/null || true
	done
	if test $status -ne 0
	then
		echo "demo failed; last log lines:"
		tail -n 5 "$work"/*.log
	fi
	rm -rf "$work"
	exit $status
}
trap finish EXIT

# start NAME PROGRAM ARGUMENT...
start() {
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids="$pids $!"
}

# until_true SECONDS COMMAND...
until_true() {
	local tries=$(($1 * 10))
	shift
	until "$@" >/dev/null 2>&1
	do
		tries=$((tries - 1))
		test $tries -gt 0 || return 1
		sleep 0.1
	done
}

daemons='toledo-1:toledo-yard:1 toledo-2:toledo-yard:2
	erie-1:erie-depot:3 erie-2:erie-depot:4'
runners='engine-t1:toledo-yard:itinerary-model:1
	engine-t2:toledo-yard:itinerary-model:2
	lookup-t:toledo-yard:seat-lookup:3
	booking-t:toledo-yard:booking-desk:4
	engine-e1:erie-depot:itinerary-model:5
	engine-e2:erie-depot:itinerary-model:6
	lookup-e:erie-depot:seat-lookup:7
	booking-e:erie-depot:booking-desk:8'

write_vms() {
	local comma= name zone service n
	echo '['
	for vm in $daemons
	do
		IFS=: read -r name zone n <<<"$vm"
		printf '%s{"name":"%s","kind":"entry","region":"great-lakes",' \
			"$comma" "$name"
		printf '"zone":"%s","state":"live",' "$zone"
		printf '"address":"127.0.1.%s:18001",' "$n"
		printf '"peer_address":"127.0.1.%s:18002",' "$n"
		printf '"admin_address":"127.0.1.%s:18003"}\n' "$n"
		comma=,
	done
	for vm in $runners
	do
		IFS=: read -r name zone service n <<<"$vm"
		printf ',{"name":"%s","kind":"runner","region":"great-lakes",' \
			"$name"
		printf '"zone":"%s","state":"live","service":"%s",' \
			"$zone" "$service"
		printf '"address":"127.0.2.%s:18004","generation":1,' "$n"
		printf '"fencing":true}\n'
	done
	echo ']'
}

write_settings() {
	cat <<EOF
{
	"name": "$1", "zone": "$2",
	"zones": ["toledo-yard", "erie-depot"],
	"listen": "127.0.1.$3:18001",
	"peer_listen": "127.0.1.$3:18002",
	"admin_listen": "127.0.1.$3:18003",
	"platform": "$platform",
	"peer_secret": "demo-peer-secret-0123",
	"operator_token": "$token",
	// Short times, so that the demo need not wait.
	"heartbeat_ms": 100, "heartbeat_timeout_ms": 600,
	"connect_timeout_ms": 300, "retry_horizon_ms": 3000,
	"clock_skew_ms": 100, "config_poll_ms": 200, "vms_poll_ms": 200,
	"accounts_ms": 1000
}
EOF
}

write_vms >"$work/vms.json"
start platform "$build/standin-platform" --listen=$platform \
	--vms="$work/vms.json"
engines=
for vm in $runners
do
	IFS=: read -r name zone service n <<<"$vm"
	address=127.0.2.$n:18004
	engines=$engines${engines:+,}$address
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
	write_settings "$name" "$zone" "$n" >"$work/$name.json"
	"$build/papayad" --check-settings "$work/$name.json" >/dev/null
	start "$name" "$build/papayad" "$work/$name.json"
	targets=$targets${targets:+,}127.0.1.$n:18001
done
until_true 5 curl -sf http://$platform/v1/vms

for doc in profile/lakeshore:profile service/itinerary-model:itinerary-model \
	service/seat-lookup:seat-lookup service/booking-desk:booking-desk
do
	printf '%s: ' "${doc%%:*}"
	"$build/papayactl" publish --platform=$platform --token=$token \
		--by=demo --doc="${doc%%:*}" "demo/${doc##*:}.json"
done
for n in 1 2 3 4
do
	until_true 5 curl -sf http://127.0.1.$n:18003/readyz
done
# Until keys minted now are younger than the daemons' start.
sleep 4

echo "load: 10 s of mixed calls"
"$build/standin-load" --targets=$targets --rate=60 --seconds=10 --seed=1 \
	--verify=$engines --out="$work/load.json"

# What is counted is appended every second.
sleep 2.5
"$build/papayactl" report --platform=$platform
