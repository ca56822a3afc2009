#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 and following start, after the build of
# deploy/system.toml. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin-2
