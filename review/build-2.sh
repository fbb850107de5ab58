#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It runs after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2-stand ./review/_stand2
