#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. The hosts themselves are
# built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/stage ./review/_stage
