#!/bin/sh
# Builds the stand-ins of the cases. The system itself is built as the deploy file says.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standins ./review/platform
