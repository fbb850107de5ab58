#!/bin/sh
# Runs each fuzz target for FUZZ_TIME.
set -eu
: "${FUZZ_TIME:=5s}"
grep -rl --include='*_test.go' '^func Fuzz' . | sort | while read -r file; do
	for target in $(sed -n 's/^func \(Fuzz[A-Za-z0-9_]*\)(.*/\1/p' "$file"); do
		go test -run '^$' -fuzz "^$target\$" -fuzztime "$FUZZ_TIME" "./$(dirname "$file")"
	done
done
