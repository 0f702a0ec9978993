#!/bin/bash
# Model-checks spec/*.pml: every model must pass a full search, and every
# mutant (a macro MUTANT_... in a model) must give a counterexample.
#
# usage: run.sh [MODEL...]
set -u
cd "$(dirname "$0")/.." || exit 1
build=build/spec
models=${*:-$(basename -s .pml spec/*.pml)}
mkdir -p $build

mutants() {
	grep -oE '\bMUTANT_[A-Z_]+' "spec/$1.pml" | sort -u
}

# Checks one model, with one mutant's macro if it is given, in a folder of
# its own; writes one line to the file `line` there.
check() {
	local model=$1 mutant=${2:-} name=$1${2:+ $2} dir=$build/$1${2:+.$2}
	local out=$dir/pan.out states seconds verdict detail
	rm -rf "$dir"
	mkdir -p "$dir"
	if ! (cd "$dir" && spin -a ${mutant:+-D$mutant} \
		"$OLDPWD/spec/$model.pml" &&
		gcc -O2 -w -DSAFETY -DNOREDUCE -DCOLLAPSE -DMEMLIM=2000 \
			-o pan pan.c) >"$dir/build.out" 2>&1
	then
		echo "FAIL $name: does not build" >"$dir/line"
		return
	fi
	(cd "$dir" && timeout 120 ./pan -m1000000 -w22) >"$out" 2>&1
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$out")
	seconds=$(sed -n 's/.*elapsed time \([0-9.]*\) .*/\1/p' "$out")
	detail="${states:-?} states, ${seconds:-?} s"
	if test -n "$mutant"
	then
		# An invalid end state is no counterexample to a rule.
		if grep -q 'assertion violated' "$out"
		then
			verdict="ok"
			detail="counterexample, $detail"
		else
			verdict=FAIL
			detail="no counterexample, $detail"
		fi
	elif grep -q 'errors: 0$' "$out" &&
		! grep -qE 'Search not completed|max search depth|out of memory' \
			"$out"
	then
		verdict="ok"
		detail="full search, $detail"
	else
		verdict=FAIL
		detail="$(grep -m1 -E 'violated|too small|memory|invalid' \
			"$out"), $detail"
	fi
	echo "$verdict $name: $detail" >"$dir/line"
	rm -f "$dir"/pan.? "$dir/pan"
}
export -f check
export build

# Every mutant stands in the table that says which rule it drops.
for model in $models
do
	for mutant in $(mutants "$model")
	do
		grep -q "\`$mutant\`" spec/README.md ||
			echo "FAIL $model $mutant: not in spec/README.md"
	done
done >$build/table

for model in $models
do
	echo "$model"
	for mutant in $(mutants "$model")
	do
		echo "$model $mutant"
	done
done >$build/jobs
xargs -P 4 -L 1 bash -c 'check "$@"' check <$build/jobs
while read -r model mutant
do
	cat "$build/$model${mutant:+.$mutant}/line"
done <$build/jobs >$build/results
cat $build/table >>$build/results
cat $build/results
passed=$(grep -c '^ok ' $build/results)
failed=$(grep -vc '^ok ' $build/results)
echo "$passed passed, $failed failed"
test "$failed" = 0
