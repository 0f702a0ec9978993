#!/bin/sh
# Builds what the scripts of review/11 to review/15 start, into target/.
set -e
cd "$(dirname "$0")/.."
make -s -j8 B=target target/standin-store
mkdir -p target/review-3
for name in runner3 caller3 odd3
do
	${CC:-gcc} -std=gnu11 -O1 -Wall -Wextra -pthread \
		-o "target/review-3/$name" "review/$name.c"
done
