#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/harness2 ./review/harness2
