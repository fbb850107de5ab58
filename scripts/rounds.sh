#!/bin/sh
# Simulates the standard days of sites of the users' platform and prints a line for each
# site at the end.
# usage: KIT=<folder of the kit> JOBS=<cores> scripts/rounds.sh "<what is tried>" <site>...
set -eu
why=$1
shift
test -x "$KIT/bin/fleetbench" || { echo "rounds: the users' kit is not in $KIT; nothing was run" >&2; exit 1; }
mkdir -p out
status=0
for site; do
	"$KIT/bin/fleetbench" score "$KIT/sites/$site.toml" --jobs "$JOBS" --why "$why" >"out/round-$site.txt" 2>&1 || status=1
	cat "out/round-$site.txt"
done
echo
for site; do
	echo "$site: $(grep -E '^(score on|GATE)' "out/round-$site.txt" | tr '\n' ' ')"
	grep -q '^GATE passed' "out/round-$site.txt" || status=1
done
exit $status
