#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases 6 to 10, from the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-cases2 ./review/cases2/platform
