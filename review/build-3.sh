#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/9 to review/13 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/kit3
