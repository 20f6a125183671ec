#!/usr/bin/env bash
# Builds what the scripts of the cases start besides the program itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
