#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# no process is killed.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 100 target/review-2/lab poison-kill target/lovage-edge "$folder" > review/10/record.txt 2>&1
code=$?
[ $code -le 2 ] || code=2
exit $code
