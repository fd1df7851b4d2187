#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/_standin
