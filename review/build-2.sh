#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases of the second review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/trial ./review/trial
