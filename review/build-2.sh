#!/bin/sh
# Builds the stand-ins and clients of the scripts of the second review into bin/. The daemons come
# from the build line of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/review-harness-2 ./review/harness-2
