#!/usr/bin/env bash
# Builds the stand-ins and checkers of the scripts, and the program of the deploy file
# unless a fresh build has left it in target/.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o bin/review-casekit ./review/casekit
if [ ! -x target/spoolsill-host ]; then
  CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/ ./cmd/spoolsill-host
fi
