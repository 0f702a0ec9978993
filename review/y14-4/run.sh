#!/bin/bash
# A stream crashes each runner that begins to run it, before the head of its
# answer, and comes again: see claim.txt. TROUBLE=0: it crashes nothing.
. "$(dirname "$0")/../lib-3.sh"

DEADLY=${TROUBLE:-1}
RUNNERS=4
STABILITY_MS=3000 # of the deployment
MOST_RETRIES=3 # of BUDGET

start_store
put keyed.op config '{"version":1,"routes":[{"name":"reply","host":"h.example","path_prefix":"/reply/","route_type":"streaming","timeout_ms":12000,"latency_target_ms":800,"priority":1,"service":"writers","max_attempts":1,"anonymous":false,"sticky":true,"resumable":false,"itl_target_ms":300}],"services":[{"name":"writers","health_path":"/health","max_conns":780,"inference_engine":{"slots":9,"kv_capacity":569469}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}' ||
	cannot_run 'the configuration was not written'
body=harmless
test "$DEADLY" = 0 || body=deadly
for ((i = 0; i < RUNNERS; i++))
do
	spawn "r$i" $TOOLS/runner3 --listen "127.$NET.9.$((1 + i)):8308" \
		--store "$STORE" --id "i-$i" --service writers \
		--zone "${ZONES[$((i % 3))]}" --deadly deadly --down-ms 2000 \
		--dies "${DIES:-begin}" \
		--slots 9 --work-ms 30 --events 5 --event-ms 20 \
		--record "$RECORD"
done
to=()
for ((i = 0; i < 3; i++))
do
	start_daemon "$i"
	to+=(--to "$(daemon_ip "$i"):8221")
done
await_ready 3
sleep 4

usage=$'X-Model: m\r\nX-Token-Usage: 600,30\r\n'
# Sound streams of the same route and caller, with the same first part.
spawn sound $TOOLS/caller3 "${to[@]}" --path /reply/1 --key key-1 --body sound \
	--headers "${usage}X-Prefix-Hash: 5c1e07a2:60,91bd3f06:540"$'\r\n' \
	--name sound --every-ms 50 --total 1100 --deadline-ms 4000 \
	--record "$RECORD"
sleep 3
# The stream that crashes runners: same path, caller and body, any daemon.
spawn again $TOOLS/caller3 "${to[@]}" --path /reply/2 --key key-1 \
	--headers "${usage}X-Prefix-Hash: 5c1e07a2:60,77aa0b13:540"$'\r\n' \
	--body "$body" --name again --every-ms 2500 --total 20 \
	--deadline-ms 4000 --record "$RECORD"
sleep 53

awk -v stability="$STABILITY_MS" -v most="$MOST_RETRIES" '
$2 == "crash" { crashes++; at[crashes] = $1 }
$2 == "run" && $3 ~ /^again/ { ran++; run_at[ran] = $1 }
$2 == "answered" && $3 ~ /^sound/ { n++; ok += $4 == 200 && $5 == "whole" }
$2 == "answered" && $3 ~ /^again/ { answers[$4]++ }
END {
	if (crashes >= 3)
		for (i = 1; i <= ran; i++)
			late += run_at[i] > at[3] + stability
	printf "crashes %d; runs of the repeated request %d, ", crashes, ran
	printf "later than %d ms after the third crash %d (most %d)\n",
		stability, late, most
	for (s in answers)
		printf "the repeated request was answered %s: %d\n", s,
			answers[s]
	printf "sound requests served %d of %d\n", ok, n
	if (n < 500 || !ran)
		exit 2
	exit late > most
}' "$RECORD" | tee "$DIR/verdict"
status=${PIPESTATUS[0]}
sed 's/^/verdict: /' "$DIR/verdict" >>"$RECORD"
exit "$status"
