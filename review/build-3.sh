#!/bin/sh
# Builds what the scripts of cases 11 to 15 start beside the project's own programs: their stand-ins of the
# store, the runners and the callers. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
go build -o target/review-cases3 ./review/cases3/platform
