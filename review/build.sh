#!/usr/bin/env bash
# Builds the stand-ins of the cases. The build of the deploy file has to come first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-standin review/_standin/*.go
