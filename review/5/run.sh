#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/spoolsill-host ] && [ -x target/review-2/trial ] || { echo "not built"; exit 2; }
exec target/review-2/trial gangroom review/5/record.txt
