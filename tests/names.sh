#!/bin/sh
# Checks that names defined by the users' platform (headers, topics, fields)
# occur only in platform/, the stand-ins and the tests.
set -u
cd "$(dirname "$0")/.." || exit 1
names='X-(Attempt-Id|Key|Deadline-Ms|Token-Usage|Prefix-Hash|Length-Hint|Tenant|Expect-|Hold|Pin-Ms|Kv-|Server-|Not-Executed|Instance-Id|Model|Weight)|Kv-(From|Fetch)|keyed\.|log-(append|read|newest|trim|join|commit|owners|leave)|route_type|traffic_split|inference_engine|latency_target_ms|itl_target_ms|path_prefix|api_keys|uncached_tokens|warmup_left_ms|kv_capacity|PAPAYABANK_BOOT'
found=$(grep -nE "$names" common/*.[ch] core/*.[ch] net/*.[ch] daemon/*.[ch] \
	ctl/*.[ch])
if test -n "$found"
then
	echo "names of the platform outside platform/:"
	echo "$found"
	exit 1
fi
echo "names of the platform stay in platform/"
