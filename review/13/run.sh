#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/kit3 ] || [ ! -x target/spoolsill-host ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
  exit 2
fi
exec target/kit3 gang review/13
