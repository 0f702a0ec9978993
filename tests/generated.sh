#!/bin/sh
# Checks that the committed generated files match their sources.
#
# usage: generated.sh BUILD_DIR
set -eu
build=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
protoc-c --proto_path=net --c_out="$work" net/peer.proto
diff -u net/peer.pb-c.h "$work/peer.pb-c.h"
diff -u net/peer.pb-c.c "$work/peer.pb-c.c"
"$build/papayad" --print-settings >"$work/settings.md"
sed -n '/^| key/,$p' docs/SETTINGS.md | diff -u - "$work/settings.md"
