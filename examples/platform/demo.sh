#!/usr/bin/env bash
# Starts a stand-in for the users' platform and two instances on loopback, sends requests
# to both instances, stops one and sends another request to the other.
set -euo pipefail
cd "$(dirname "$0")/../.."
logs=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait; rm -rf "$logs"' EXIT

bin/lovage-playground > "$logs/platform" & pids+=($!)
for n in 1 2; do
  bin/lovage-edge --settings examples/platform/edge-$n.toml > "$logs/edge-$n" & pids+=($!)
done
for n in 1 2; do
  for _ in $(seq 100); do
    curl -fs "127.0.0.1:73${n}2/readiness" && break
    sleep 0.1
  done
done

for _ in $(seq 100); do # until the first instance's lookups return the second one too
  curl -fs '127.0.0.1:7314/resolve?name=desk.example&region=north&zone=north-1' | grep -q 7321 && break
  sleep 0.1
done

request() { # METHOD PATH PORT
  curl -s -m 5 -w ' (%{http_code})\n' -X "$1" -H 'Host: desk.example' -H "Attempt-Id: $RANDOM$RANDOM" \
    -H 'Deadline-Ms: 2000' -H 'Authorization: Token demo-key' -H 'Cookie: Affinity-Key=17' "127.0.0.1:$3$2"
}
echo "instances for callers:     $(curl -s '127.0.0.1:7314/resolve?name=desk.example&region=north&zone=north-1')"
echo "a lookup:                  $(request GET /read/17 7311)"
echo "same affinity key:         $(request GET /read/17 7321)"
echo "an action:                 $(request POST /act/17 7311)"
echo "an unknown workspace key:  $(curl -s -m 5 -w ' (%{http_code})' -H 'Host: desk.example' -H 'Authorization: Token other' 127.0.0.1:7311/read/1)"
kill -TERM "${pids[1]}"
sleep 1
echo "after one instance stops:  $(curl -s '127.0.0.1:7324/resolve?name=desk.example&region=north&zone=north-1')"
echo "a lookup:                  $(request GET /read/17 7321)"
