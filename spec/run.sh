#!/bin/bash
# Model-checks spec/*.pml: every model must pass a full search, in its
# default bounds and in those of `variants`, and every mutant (a macro
# MUTANT_... in a model) must give a counterexample.
#
# usage: run.sh [MODEL...]
set -u
cd "$(dirname "$0")/.." || exit 1
export build=build/spec
models=${*:-$(basename -s .pml spec/*.pml)}
mkdir -p $build

mutants() {
	grep -oE '\bMUTANT_[A-Z_]+' "spec/$1.pml" | sort -u
}

# variants MODEL: prints other bounds with which the model must pass too.
variants() {
	case $1 in
	dispatch_right)
		echo "-DR=2 -DH=1 -DP=2"
		echo "-DJOIN"
		;;
	profiles)
		echo "-DPUBLICATIONS=3 -DLOG_MAX=3 -DWHOLE_RELAYS"
		;;
	esac
}

# folder JOB: prints the folder of a job, which is a model and the macros that
# it is checked with.
folder() {
	echo "$build/$(echo "$*" | tr -d ' ')"
}

# check JOB: checks one job and writes one line to the file `line` in its
# folder.
check() {
	local model=$1 dir out states seconds detail
	local verdict=FAIL optimize=-O2
	# Optimizing takes longer than the search for most counterexamples.
	case $* in *MUTANT_*) optimize=-O0 ;; esac
	dir=$(folder "$@")
	out=$dir/pan.out
	rm -rf "$dir"
	mkdir -p "$dir"
	if ! (cd "$dir" && spin -a "${@:2}" "$OLDPWD/spec/$model.pml" &&
		gcc $optimize -w -DSAFETY -DNOREDUCE -DMEMLIM=2000 \
			-o pan pan.c) >"$dir/build.out" 2>&1
	then
		echo "FAIL $*: does not build" >"$dir/line"
		return
	fi
	(cd "$dir" && timeout 120 ./pan -m1000000 -w24) >"$out" 2>&1
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$out")
	seconds=$(sed -n 's/.*elapsed time \([0-9.]*\) .*/\1/p' "$out")
	case $* in
	*MUTANT_*)
		# Only a violated assertion is a counterexample to a rule.
		detail="no counterexample"
		if grep -q 'assertion violated [^-]' "$out"
		then
			verdict=ok
			detail=counterexample
		fi
		;;
	*)
		detail="no full search: $(grep -m1 -E \
			'violated|too small|memory|invalid' "$out")"
		if grep -q 'errors: 0$' "$out" && ! grep -qE \
			'Search not completed|max search depth|out of memory' \
			"$out"
		then
			verdict=ok
			detail="full search"
		fi
		;;
	esac
	echo "$verdict $*: $detail, ${states:-?} states, ${seconds:-?} s" \
		>"$dir/line"
	rm -f "$dir"/pan.? "$dir/pan"
}
export -f folder check

# Full searches take the longest and go first.
{
	for model in $models
	do
		echo "$model"
		variants "$model" | sed "s/^/$model /"
	done
	for model in $models
	do
		mutants "$model" | sed "s/^/$model -D/"
	done
} >$build/jobs
xargs -P 4 -L 1 bash -c 'check "$@"' check <$build/jobs
while read -r job
do
	# shellcheck disable=SC2086
	cat "$(folder $job)/line"
done <$build/jobs >$build/results
# Checks that spec/README.md lists every mutant with the rule that it drops.
for model in $models
do
	for mutant in $(mutants "$model")
	do
		grep -q "\`$mutant\`" spec/README.md ||
			echo "FAIL $model $mutant: not in spec/README.md"
	done
done >>$build/results
cat $build/results
passed=$(grep -c '^ok ' $build/results)
failed=$(grep -vc '^ok ' $build/results)
echo "$passed passed, $failed failed"
test "$failed" = 0
