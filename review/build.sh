#!/usr/bin/env bash
# Builds the driver of the cases, which contains their stand-ins, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
