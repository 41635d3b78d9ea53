#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exits with 1 if the rule was broken,
# 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/lovage-edge ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
exec review/bin/standin quota . "$here/record.txt"
