#!/bin/sh
# Builds what the cases' scripts start, after the build of the deploy file: the
# project's stand-in of the store, and one program a case. All into target/.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 B=target target/standin-store
mkdir -p target/review
for source in review/*/case.c
do
	n=$(basename "$(dirname "$source")")
	gcc -std=gnu11 -O2 -g -Wall -Wextra -Ireview -o "target/review/case-$n" \
		"$source" review/sim.c -lpthread
done
