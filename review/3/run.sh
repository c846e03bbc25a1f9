#!/usr/bin/env bash
# A task that lasts stays down long after its worker was lost, since the leader changed too.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run is in record.txt.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/review-casekit ] || [ ! -x target/spoolsill-host ]; then
  bash review/build.sh || exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec bin/review-casekit -case lostlease -dir review/3 -trouble=$trouble
