#!/usr/bin/env bash
# Builds what the scripts of the second review start, next to the output of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
go build -o ../target/review-2/lab ./second/platform
