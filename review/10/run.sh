#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/lagoongw ] || [ ! -x target/review-2/harness2 ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
exec target/review-2/harness2 ghost-replica "$folder"
