# Functions for the scripts of review/11 to review/15: starts the store's
# stand-in and daemons on loopback addresses, as deploy/system.toml starts
# them, with the settings of deploy/papayad.json filled in for a small
# deployment. Exit status of a script: 0 held, 1 broken, 2 could not run.
set -u
CASE=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$CASE/../.." || exit 2
RECORD=$CASE/record.txt
TOOLS=target/review-3
# The second byte of all addresses, which no other script has at the time.
NET=$((64 + $$ % 160))
for tries in $(seq 160)
do
	LOCK=${TMPDIR:-/tmp}/papaya-review-net-$NET
	mkdir "$LOCK" 2>/dev/null && break
	NET=$((64 + (NET - 63) % 160))
	LOCK=
done
test -n "$LOCK" || exit 2
STORE=127.$NET.0.1:8225
DIR=$(mktemp -d) || exit 2
PIDS=()
ZONES=(zone-a zone-b zone-c)
: >"$RECORD"

now_ms()
{
	date +%s%3N
}

note()
{
	echo "$(now_ms) $*" >>"$RECORD"
}

# Ends what this script started, by pid.
clean_up()
{
	local pid
	for pid in "${PIDS[@]}"
	do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	sleep 0.3
	if test -n "${KEEP_LOGS:-}"
	then
		cp "$DIR"/*.log "$KEEP_LOGS"/ 2>/dev/null
	fi
	rm -rf "$DIR"
	rmdir "$LOCK"
}
trap clean_up EXIT

cannot_run()
{
	note "could not run: $*"
	echo "could not run: $*"
	exit 2
}

for program in target/papayad target/standin-store $TOOLS/runner3 \
	$TOOLS/caller3
do
	test -x "$program" || cannot_run "$program isn't built"
done

# spawn LOG COMMAND...: sets PID.
spawn()
{
	local log=$1
	shift
	"$@" >"$DIR/$log.log" 2>&1 &
	PID=$!
	PIDS+=("$PID")
	disown "$PID"
}

# put TOPIC KEY VALUE: what the operator writes to the store.
put()
{
	local length=${#3} line
	exec 9<>"/dev/tcp/${STORE%:*}/${STORE#*:}" || return 1
	printf 'POST /standin/put?topic=%s&key=%s HTTP/1.1\r\nHost: s\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' \
		"$1" "$2" "$length" "$3" >&9
	read -r line <&9
	cat <&9 >/dev/null
	exec 9>&- 9<&-
	case $line in
	*' 200 '*) return 0 ;;
	esac
	return 1
}

start_store()
{
	local i
	spawn store target/standin-store --listen "$STORE"
	for i in $(seq 50)
	do
		(exec 9<>"/dev/tcp/${STORE%:*}/${STORE#*:}") 2>/dev/null &&
			return
		sleep 0.1
	done
	cannot_run 'the store did not start'
}

daemon_ip()
{
	echo "127.$NET.$((1 + $1 % 3)).$((10 + $1))"
}

# The settings of daemon I, as the platform would fill in the template.
write_settings()
{
	local ip
	ip=$(daemon_ip "$1")
	cat >"$DIR/d$1.json" <<-EOF
	{
		"name": "$ip",
		"zone": "${ZONES[$(($1 % 3))]}",
		"zones": ["zone-a", "zone-b", "zone-c"],
		"places": ["zone-a zone-a", "zone-b zone-b", "zone-c zone-c"],
		"fleet": true,
		"listen": "$ip:8221",
		"ready_listen": "$ip:8224",
		"peer_listen": "$ip:7600",
		"tunnel_port_offset": 1,
		"admin_listen": "$ip:7615",
		"platform": "${PLATFORM:-$STORE}",
		"seed_addresses": ["$(daemon_ip 0):8229", "$(daemon_ip 1):8229", "$(daemon_ip 2):8229"],
		"peer_secret": "daemons-of-papayabank-region",
		"operator_token": "operator-of-daemon-$1-0000",
		"heartbeat_ms": 600,
		"heartbeat_timeout_ms": 2500,
		"connect_timeout_ms": 400,
		"platform_timeout_ms": 800,
		"memory_mb": 182,
		"drain_ms": "8 s",
		"limit_overrun": 0.1,
		"limit_slack": 140000,
		"limit_window_ms": "8 s",
		"retry_ratio": 0.2,
		"retry_slack": 113,
		"retry_window_ms": "10 s",
		"reuse_connections": true,
		"runner_load": true,
		"runner_memory": true,
		"placement": true,
		"prompt_cache_weighing": true,
		"load_poll_ms": 0,
		"learned_speeds": false
	}
	EOF
}

start_daemon()
{
	write_settings "$1"
	spawn "d$1" target/papayad "$DIR/d$1.json"
	DAEMON_PIDS[$1]=$PID
}
DAEMON_PIDS=()

# Waits until daemons 0 to N - 1 say that they are ready.
await_ready()
{
	local i tries line ip
	for ((i = 0; i < $1; i++))
	do
		ip=$(daemon_ip "$i")
		for tries in $(seq 100)
		do
			line=
			{ exec 9<>"/dev/tcp/$ip/8224"; } 2>/dev/null && {
				printf 'GET /readiness HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n' >&9
				read -r line <&9
				exec 9>&- 9<&-
			}
			case $line in
			*' 200 '*) break ;;
			esac
			sleep 0.1
		done
		case $line in
		*' 200 '*) ;;
		*) cannot_run "daemon $i is not ready" ;;
		esac
	done
}
