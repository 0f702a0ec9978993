#!/bin/sh
# Installs the Debian packages that building and testing need.
set -eu
packages='pkg-config gcc make libevent-dev libprotobuf-c-dev libjansson-dev
	libargtable2-dev libglib2.0-dev libxxhash-dev libhttp-parser-dev zlib1g-dev check spin gnuplot-nox
	curl libclang-rt-14-dev clang-format clang-tidy protobuf-c-compiler'
missing=
for p in $packages
do
	dpkg-query -W -f '${Status}' "$p" 2>/dev/null |
		grep -q 'ok installed' || missing="$missing $p"
done
test -n "$missing" || exit 0
echo "installing:$missing"
sudo=
test "$(id -u)" = 0 || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq \
	--no-install-recommends $missing >/dev/null
