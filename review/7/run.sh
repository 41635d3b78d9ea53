#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# no endpoint crashes.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 100 target/review-2/lab crashed target/lovage-edge "$folder" > review/7/record.txt 2>&1
code=$?
[ $code -le 2 ] || code=2
exit $code
