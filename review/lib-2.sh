# Functions of the second review's scripts, for bash: a small deployment of the
# project's daemons before the project's stand-in of the store and runners of
# runner2.c, on loopback addresses. To be sourced by review/N/run.sh, which sets
# CASE to its folder.

cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
BIN=build/review-2
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d)
PIDS=()
RECORD=$CASE/record.txt
ZONES=(casa-nord casa-port casa-sud)
: >"$RECORD"

say() {
	echo "$*" | tee -a "$RECORD"
}

finish() {
	local status=$?

	trap - EXIT INT TERM
	for pid in "${PIDS[@]}"
	do
		kill -CONT "$pid"
		kill -KILL "$pid"
		wait "$pid"
	done 2>/dev/null
	rm -rf "$DIR"
	exit $status
}
trap finish EXIT
trap 'exit 2' INT TERM

give_up() {
	say "the case could not run: $*"
	exit 2
}

for program in target/papayad build/standin-store $BIN/runner2
do
	test -x $program || give_up "$program is not built"
done

# Starts a program in the background; its output goes to $DIR/NAME.log.
start() {
	local name=$1

	shift
	"$@" >"$DIR/$name.log" 2>&1 &
	PIDS+=($!)
	LAST_PID=$!
}

# A block of loopback addresses of which nobody uses the store's port.
choose_net() {
	local try

	for try in $(seq 1 20)
	do
		NET=127.$((20 + (RANDOM + $$) % 200))
		STORE=$NET.0.1:7000
		start store build/standin-store --listen $STORE
		sleep 0.4
		kill -0 $LAST_PID 2>/dev/null && return
	done
	give_up "no free address"
}

# put TOPIC KEY FILE: writes a record to the store, as operators do.
put() {
	local length status

	length=$(wc -c <"$3")
	exec 9<>"/dev/tcp/${STORE%:*}/${STORE#*:}" || return 1
	{
		printf 'POST /standin/put?topic=%s&key=%s HTTP/1.1\r\n' $1 $2
		printf 'Host: store\r\nConnection: close\r\n'
		printf 'Content-Length: %d\r\n\r\n' "$length"
		cat "$3"
	} >&9
	read -r status <&9
	exec 9>&-
	case $status in
	*200*) return 0 ;;
	esac
	return 1
}

# Settings of daemon I, as deploy/papayad.json gives them on the platform.
settings() {
	local ip=$NET.1.$((10 + $1)) zone=${ZONES[$1]}

	cat <<-EOF
	{"name":"$ip","zone":"$zone",
	"zones":["casa-nord","casa-port","casa-sud"],
	"places":["casa-nord casa-nord","casa-port casa-port","casa-sud casa-sud"],
	"fleet":true,"listen":"$ip:8221","ready_listen":"$ip:8224",
	"peer_listen":"$ip:7600","admin_listen":"$ip:7615",
	"platform":"$STORE",
	"seed_addresses":["$NET.1.10:8229","$NET.1.11:8229","$NET.1.12:8229"],
	"peer_secret":"daemons-of-papayabank-casablanca",
	"operator_token":"operator-of-edge-$zone-1-0000",
	"heartbeat_ms":600,"heartbeat_timeout_ms":2500,
	"connect_timeout_ms":400,"platform_timeout_ms":800,"memory_mb":182,
	"drain_ms":"8 s","limit_overrun":0.1,"limit_slack":140000,
	"limit_window_ms":"8 s","retry_ratio":0.2,"retry_slack":113,
	"retry_window_ms":"10 s","reuse_connections":true,"runner_load":true,
	"runner_memory":true,"placement":true,"prompt_cache_weighing":true,
	"load_poll_ms":0,"learned_speeds":false}
	EOF
}

# Starts daemon I (0 to 2) with the deploy file's command; sets DAEMON_PID[I].
DAEMON_PID=()
start_daemon() {
	settings $1 >"$DIR/daemon-$1.json"
	start daemon-$1 target/papayad "$DIR/daemon-$1.json"
	DAEMON_PID[$1]=$LAST_PID
}

daemon_address() {
	echo $NET.1.$((10 + $1)):8221
}

# start_runner I SERVICE WORK_MS BYTES EVENTS: a runner in zone I modulo 3.
start_runner() {
	start runner-$1 $BIN/runner2 $NET.2.$((10 + $1)):9000 i-$1 $2 \
		${ZONES[$(($1 % 3))]} $STORE $3 $4 $5
}

# Waits until daemon I says that it is ready.
await_ready() {
	local ip=$NET.1.$((10 + $1)) try status

	for try in $(seq 1 100)
	do
		sleep 0.1
		exec 9<>"/dev/tcp/$ip/8224" || continue
		printf 'GET /readiness HTTP/1.1\r\nHost: d\r\n\r\n' >&9
		read -r status <&9
		exec 9>&-
		case $status in
		*200*) return ;;
		esac
	done 2>/dev/null
	give_up "daemon $1 does not get ready"
}

# Ends the script with the client's word: 0, 1 or 2.
judge() {
	case $1 in
	0) say "held: the rule was kept" ;;
	1) say "broken: the rule was broken" ;;
	*) say "the case could not run" ; exit 2 ;;
	esac
	exit $1
}
