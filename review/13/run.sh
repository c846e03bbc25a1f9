#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run is in record.txt.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/kit3 ] || [ ! -x target/spoolsill-host ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
  exit 2
fi
trouble=1
[ "${TROUBLE:-1}" = 0 ] && trouble=0
TROUBLE=$trouble exec target/kit3 gang review/13
