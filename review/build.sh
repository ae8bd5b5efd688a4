#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases, with the module's own packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/harness ./review/harness
