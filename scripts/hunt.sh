#!/bin/sh
# Simulates days with other seeds and mixed faults on a site of the users' platform, and
# fails if a rule is violated. The complete output is kept in out/.
# usage: KIT=<folder of the kit> FLEETBENCH=<program> JOBS=<cores> scripts/hunt.sh <site> <days> [variant]
# A site is the path of its file in the kit without the suffix. With a variant (goosesite --help) it uses a site that is derived from the users' one.
set -eu
file=$KIT/$1.toml
site=$(basename "$1")
days=$2
variant=${3:-}
test -x "$FLEETBENCH" || { echo "hunt: $FLEETBENCH is missing; nothing was run" >&2; exit 1; }
test -f "$file" || { echo "hunt: the kit has no site $1" >&2; exit 1; }
mkdir -p out
if [ -n "$variant" ]; then
	# The derived site is a temporary file, because the users' files do not belong to the
	# repository.
	derived=$(mktemp -d)
	trap 'rm -rf "$derived"' EXIT
	cp "$(dirname "$file")/wire.json" "$derived/"
	go run ./cmd/goosesite --from "$file" --variant "$variant" >"$derived/$site-$variant.toml"
	file=$derived/$site-$variant.toml
	site=$site-$variant
fi
"$FLEETBENCH" hunt "$file" --days "$days" --jobs "$JOBS" --why "hunt" >"out/hunt-$site.txt" 2>&1 || true
grep -vE 'is played, after' "out/hunt-$site.txt"
grep -qE '^[0-9]+ days on .*, 0 with a rule broken' "out/hunt-$site.txt"
