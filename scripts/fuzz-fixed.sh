#!/bin/sh
# Runs each fuzz target on its fixed series of mutated seeds, without the race detector. It
# fails if a fuzz target FuzzX has no test TestFuzzX in the same file. Tests listed in
# KNOWN-RED.txt are skipped as in test.sh.
set -eu
grep -rl --include='*_test.go' '^func Fuzz' . | sort | while read -r file; do
	for target in $(sed -n 's/^func \(Fuzz[A-Za-z0-9_]*\)(.*/\1/p' "$file"); do
		grep -q "^func Test$target(" "$file" || { echo "$file: no Test$target" >&2; exit 1; }
	done
done
skip=$(sed -n 's/^test: *\(Test[A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | sort -u | paste -sd '|' -)
exec go test -run '^TestFuzz' -skip "^($skip)\$" ./...
