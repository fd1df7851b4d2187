#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start. It needs the modules of go.mod only.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/_stand3
