#!/bin/sh
# Runs test programs. The last line of output is "N passed, N failed".
#
# usage: run.sh BUILD_DIR PROGRAM...
#
# A failed test that KNOWN-RED.txt lists as "program:test" is printed, but not
# counted as failed. Any other failure makes the run fail.
set -u
build=$1
shift
red=KNOWN-RED.txt
passed=0
failed=0
known=0
mkdir -p "$build/tap"
for program
do
	name=$(basename "$program")
	tap=$build/tap/$name.tap
	rm -f "$tap"
	CK_TAP_LOG_FILE_NAME=$tap CK_VERBOSITY=silent "$program" \
		>"$build/tap/$name.out" 2>&1
	status=$?
	ok=$(grep -c '^ok ' "$tap" 2>/dev/null)
	passed=$((passed + ${ok:-0}))
	bad=$(grep '^not ok ' "$tap" 2>/dev/null)
	if test -z "$bad" && { test $status -ne 0 || test "${ok:-0}" = 0; }
	then
		echo "FAIL $name: exit status $status"
		tail -n 40 "$build/tap/$name.out"
		failed=$((failed + 1))
	fi
	test -n "$bad" || continue
	while IFS= read -r line
	do
		test_name=$(echo "$line" | cut -d: -f3)
		if grep -q "^$name:$test_name " "$red" 2>/dev/null
		then
			echo "KNOWN RED $name:$line"
			known=$((known + 1))
		else
			echo "FAIL $name:$line"
			failed=$((failed + 1))
		fi
	done <<EOF
$bad
EOF
done
test $known = 0 || echo "$known known red"
echo "$passed passed, $failed failed"
test $failed = 0
