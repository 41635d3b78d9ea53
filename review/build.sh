#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
go build -o bin/standin ./platform
