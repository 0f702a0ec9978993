# Functions that start stand-ins and daemons on loopback, for the scripts in
# this folder. A script sets `build`, sources this file and calls cluster_init
# first.

pids=
token=demo-operator-token
port=${PAPAYA_PORT:-18000}

# Creates the work folder $work. On exit, all started processes are stopped, by
# process id, and the folder is removed.
cluster_init() {
	work=$(mktemp -d "${TMPDIR:-/tmp}/papaya.XXXXXX")
	platform=127.0.9.1:$port
	vms=
	trap cluster_finish EXIT
}

cluster_stop() {
	local pid
	for pid in $pids
	do
		kill "$pid" 2>/dev/null || true
	done
	for pid in $pids
	do
		wait "$pid" 2>/dev/null || true
	done
	pids=
}

cluster_finish() {
	local status=$?
	cluster_stop
	if test $status -ne 0
	then
		echo "failed; last log lines:"
		tail -q -n 2 "$work"/*.log | tail -n 20
	fi
	rm -rf "$work"
	exit $status
}

# start NAME PROGRAM ARGUMENT...: starts a process and sets $pid to its id
start() {
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pid=$!
	pids="$pids $pid"
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails
# after SECONDS
wait_until() {
	local tries=$(($1 * 10))
	shift
	until "$@" >/dev/null 2>&1
	do
		tries=$((tries - 1))
		test $tries -gt 0 || return 1
		sleep 0.1
	done
}

# add_daemon NAME ZONE N: adds an entry VM to the VM list
add_daemon() {
	vms="$vms${vms:+,
}{\"name\":\"$1\",\"kind\":\"entry\",\"region\":\"great-lakes\",
\"zone\":\"$2\",\"state\":\"live\",\"address\":\"127.0.1.$3:$((port + 1))\",
\"peer_address\":\"127.0.1.$3:$((port + 2))\",
\"admin_address\":\"127.0.1.$3:$((port + 3))\"}"
}

# add_runner NAME ZONE N SERVICE: adds a runner to the VM list
add_runner() {
	vms="$vms${vms:+,
}{\"name\":\"$1\",\"kind\":\"runner\",\"region\":\"great-lakes\",
\"zone\":\"$2\",\"state\":\"live\",\"service\":\"$4\",
\"address\":\"127.0.2.$3:$((port + 4))\",\"generation\":1,\"fencing\":true}"
}

# start_platform ARGUMENT...: starts the platform's stand-in with the VM list
start_platform() {
	echo "[$vms]" >"$work/vms.json"
	start platform "$build/standin-platform" --listen=$platform \
		--vms="$work/vms.json" "$@"
	wait_until 5 curl -sf http://$platform/v1/vms
}

# start_daemon NAME ZONE N ZONES SETTINGS: SETTINGS are appended to the settings
# file; "" for none
start_daemon() {
	cat >"$work/$1.json" <<EOF
{
	"name": "$1", "zone": "$2", "zones": [$4],
	"listen": "127.0.1.$3:$((port + 1))",
	"peer_listen": "127.0.1.$3:$((port + 2))",
	"admin_listen": "127.0.1.$3:$((port + 3))",
	"platform": "$platform",
	"peer_secret": "demo-peer-secret-0123",
	"operator_token": "$token"${5:+, $5}
}
EOF
	"$build/papayad" --check-settings "$work/$1.json" >/dev/null
	start "$1" "$build/papayad" "$work/$1.json"
}

# publish DOCUMENT FILE: publishes a configuration document
publish() {
	"$build/papayactl" publish --platform=$platform --token=$token \
		--by=demo --doc="$1" "$2"
}

publish_demo() {
	local doc
	for doc in profile/lakeshore:profile \
		service/itinerary-model:itinerary-model \
		service/seat-lookup:seat-lookup \
		service/booking-desk:booking-desk
	do
		printf '%s: ' "${doc%%:*}"
		publish "${doc%%:*}" "demo/${doc##*:}.json"
	done
}

# wait_ready N...: waits until the daemons with these numbers are ready
wait_ready() {
	local n
	for n
	do
		wait_until 10 curl -sf http://127.0.1.$n:$((port + 3))/readyz
	done
}
