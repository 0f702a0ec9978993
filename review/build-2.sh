#!/bin/bash
# Builds what the scripts of the second review's cases start: the project's
# stand-in of the store, the cases' runner and their clients. The daemon is
# built by the deploy file's own command.
set -eu
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
make -s -j8 build/standin-store
flags="-std=gnu11 -O2 -g -Wall -Wextra -Wno-unused-parameter -Ireview"
flags="$flags -D_GNU_SOURCE"
${CC:-gcc} $flags -o "$out/runner2" review/runner2.c review/sim2.c -lpthread
shopt -s nullglob
for client in review/[0-9]*/client.c
do
	number=$(basename "$(dirname "$client")")
	test "$number" -ge 6 || continue
	${CC:-gcc} $flags -o "$out/client-$number" "$client" review/sim2.c \
		-lpthread
done
