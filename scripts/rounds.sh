#!/bin/sh
# Simulates the standard days of sites of the users' platform and prints a line for each
# site at the end.
# usage: KIT=<folder of the kit> FLEETBENCH=<program> JOBS=<cores> scripts/rounds.sh "<what is tried>" <site>...
# A site is the path of its file in the kit without the suffix.
set -eu
why=$1
shift
test -x "$FLEETBENCH" || { echo "rounds: $FLEETBENCH is missing; nothing was run" >&2; exit 1; }
mkdir -p out
status=0
for site; do
	out=out/round-$(basename "$site").txt
	"$FLEETBENCH" score "$KIT/$site.toml" --jobs "$JOBS" --why "$why" >"$out" 2>&1 || status=1
	cat "$out"
done
echo
for site; do
	out=out/round-$(basename "$site").txt
	echo "$site: $(grep -E '^(score on|GATE)' "$out" | tr '\n' ' ')"
	grep -q '^GATE passed' "$out" || status=1
done
exit $status
