#!/bin/sh
# Builds what the scripts of the cases 11 to 14 start, besides the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review-3
go build -o bin/review-3/ ./cmd/standin ./review/harness-3
