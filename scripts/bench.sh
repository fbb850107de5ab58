#!/bin/sh
# Runs a scenario of goosebench on both deployments, one after the other. It prints the
# thresholds of both in the last line and fails if one was missed.
# usage: scripts/bench.sh <scenario> [flags]
set -u
scenario=$1
shift
status=0
last=""
for fleet in drummond ponnala; do
	out=out/bench-$scenario-$fleet
	mkdir -p "$out"
	bin/goosebench "$scenario" --fleet "$fleet" --bars --limit 74s --out "$out" "$@" >"$out/table.txt" || status=1
	cat "$out/table.txt"
	last="$last$(grep '^bars of ' "$out/table.txt" || echo "bars of $scenario, $fleet: not measured") "
done
echo "$last"
exit $status
