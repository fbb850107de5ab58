#!/usr/bin/env bash
# Runs tests with the race detector and prints the names of the failed tests at the end.
# usage: scripts/test.sh [go test flags] <packages>
#
# A test binary that hangs is ended after TEST_TIMEOUT and prints the stacks of its
# goroutines. Tests and subtests listed in KNOWN-RED.txt are skipped; the make target known-red
# prints them.
set -euo pipefail
: "${TEST_TIMEOUT:=120s}"
# Each element of a name is matched as a whole: "TestA/a kind" becomes "^TestA$/^a_kind$".
known_red=$(sed -n 's/^test: *\(Test[A-Za-z0-9_]*\(\/[^(]*[^( ]\)\{0,1\}\).*/\1/p' KNOWN-RED.txt 2>/dev/null |
	sort -u | sed 's/ /_/g; s/\//$\/^/g; s/.*/^&$/' | paste -sd '|' -)
skip=()
if [ -n "$known_red" ]; then
	skip=(-skip "$known_red")
fi
out=$(mktemp)
trap 'rm -f "$out"' EXIT
status=0
go test -race -timeout "$TEST_TIMEOUT" "${skip[@]}" "$@" 2>&1 | tee "$out" || status=$?
if [ "$status" -ne 0 ]; then
	echo "failing tests:"
	# The whole output of a failed run is kept, so that a failure that does not come back can be traced.
	mkdir -p out
	kept=out/failed-$(date -u +%Y%m%dT%H%M%S)-$$.txt
	cp "$out" "$kept"
	echo "the whole output is kept in $kept"
	grep -E '^ *--- FAIL|^panic:|^FAIL[[:space:]]|^fatal error:|WARNING: DATA RACE|running tests:|^[[:space:]]+Test[A-Za-z0-9_/,]+ \(' "$out" || true
fi
exit "$status"
