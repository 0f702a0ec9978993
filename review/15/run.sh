#!/bin/bash
# A part of a prompt, the 17th of 18, crashes each runner that begins to write
# an answer on it: see claim.txt. TROUBLE=0: it crashes nothing.
. "$(dirname "$0")/../lib-3.sh"

DEADLY=${TROUBLE:-1}
RUNNERS=4
STABILITY_MS=3000 # of the deployment
MOST=3 # requests, of BUDGET

start_store
put keyed.op config '{"version":1,"routes":[{"name":"reply","host":"h.example","path_prefix":"/reply/","route_type":"streaming","timeout_ms":12000,"latency_target_ms":800,"priority":1,"service":"writers","max_attempts":1,"anonymous":false,"sticky":true,"resumable":false,"itl_target_ms":300}],"services":[{"name":"writers","health_path":"/health","max_conns":780,"inference_engine":{"slots":9,"kv_capacity":569469}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}' ||
	cannot_run 'the configuration was not written'
part=deadbeef:20
test "$DEADLY" != 0 || part=0badcafe:20
for ((i = 0; i < RUNNERS; i++))
do
	spawn "r$i" $TOOLS/runner3 --listen "127.$NET.9.$((1 + i)):8308" \
		--store "$STORE" --id "i-$i" --service writers \
		--zone "${ZONES[$((i % 3))]}" --deadly-part deadbeef \
		--down-ms 2000 --slots 9 --work-ms 30 --events 5 \
		--event-ms 20 --record "$RECORD"
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
# Sixteen shared parts of a long conversation, which all prompts have.
shared=
for ((i = 0; i < ${PARTS_BEFORE:-16}; i++))
do
	shared+=$(printf 'a1%06x:20,' "$((i * 7919 + 1))")
done
# Sound streams of the same route and caller: the same parts, but for one.
spawn sound $TOOLS/caller3 "${to[@]}" --path /reply/1 --key key-1 --body sound \
	--headers "${usage}X-Prefix-Hash: ${shared}5c1e07a2:20,91bd3f06:260"$'\r\n' \
	--name sound --every-ms 50 --total 1100 --deadline-ms 4000 \
	--record "$RECORD"
sleep 3
# Streams whose prompt has the part; their own last part and body differ.
for ((i = 0; i < 20; i++))
do
	own=$(printf 'b2%06x:260' "$((i * 104729 + 7))")
	spawn "again$i" $TOOLS/caller3 --to "$(daemon_ip $((i % 3))):8221" \
		--path "/reply/$((100 + i))" --key key-1 \
		--headers "${usage}X-Prefix-Hash: ${shared}$part,$own"$'\r\n' \
		--body "prompt $i" --name "again$i" --deadline-ms 4000 \
		--record "$RECORD"
	sleep 2.5
done
sleep 4

awk -v stability="$STABILITY_MS" -v most="$MOST" '
$2 == "crash" { crashes++; at[crashes] = $1 }
$2 == "run" && $3 ~ /^again/ { ran++; run_at[ran] = $1 }
$2 == "answered" && $3 ~ /^sound/ { n++; ok += $4 == 200 && $5 == "whole" }
$2 == "answered" && $3 ~ /^again/ { answers[$4 " " $5]++ }
END {
	if (crashes >= 5)
		for (i = 1; i <= ran; i++)
			late += run_at[i] > at[5] + stability
	printf "crashes %d; requests with the part that ran %d, ", crashes, ran
	printf "later than %d ms after the fifth crash %d (most %d)\n",
		stability, late, most
	for (s in answers)
		printf "they were answered %s: %d\n", s, answers[s]
	printf "sound requests served %d of %d\n", ok, n
	if (n < 500 || !ran)
		exit 2
	exit late > most
}' "$RECORD" | tee "$DIR/verdict"
status=${PIPESTATUS[0]}
sed 's/^/verdict: /' "$DIR/verdict" >>"$RECORD"
exit "$status"
