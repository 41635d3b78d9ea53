#!/usr/bin/env bash
# Starts the stand-in, and entry instances and lookup servers in two availability zones.
# Applies examples/cartas.toml, sends requests as a caller does, and stops every process
# that it has started.
set -euo pipefail
cd "$(dirname "$0")/../.."

logs=$(mktemp -d)
pids=()
standin_pid=

stop_all() {
  for pid in "${pids[@]}" $standin_pid; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}" $standin_pid; do
    wait "$pid" 2>/dev/null || true
  done
}
trap stop_all EXIT

ctl() { bin/lovagectl --platform 127.0.0.1:17100 "$@"; }

# Retries a command until it succeeds, for about 20 s at most. Then prints the logs and exits.
await() {
  local deadline=$((SECONDS + 20))
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "command did not succeed within 20 s: $*" >&2
      cat "$logs"/*.log >&2
      exit 1
    fi
    sleep 0.1
  done
}

call() { curl --silent --show-error --max-time 10 "$@"; }
field() { grep -i "^$1:" | cut -d' ' -f2- | tr -d '\r'; }

echo "== start"
bin/lovage-standin --settings examples/demo/standin.toml 2>"$logs/standin.log" &
standin_pid=$!
await call --fail 127.0.0.1:17101/calls
for settings in examples/demo/entry-*.toml; do
  bin/lovage-entry --settings "$settings" 2>"$logs/$(basename "$settings").log" &
  pids+=($!)
done
for settings in examples/demo/lookup-*.toml; do
  bin/lovage-lookup --settings "$settings" 2>"$logs/$(basename "$settings").log" &
  pids+=($!)
done

echo "== configure"
ctl check examples/cartas.toml
ctl apply examples/cartas.toml
key=$(ctl key grant cooperativa-andina)
entries_of() { call --fail "127.11.$1.201:17004/v1/entries?service=files&client=$2"; }
has_two() { [ "$(entries_of "$1" "$2" | grep -o '"owner"' | wc -l)" -ge 2 ]; }
await has_two 1 10.11.0.7
await has_two 3 10.11.32.7

echo "== lookups"
run_lookups() {
  local zone=$1 client=$2 entry
  entry=$(entries_of "$zone" "$client" | grep -o '"address":"[^"]*"' | head -1 | cut -d'"' -f4)
  await call --fail -H "Authorization: Bearer $key" "$entry/files/debtors/1"
  for n in 1 2 3; do
    call -D "$logs/headers" -H "Authorization: Bearer $key" "$entry/files/debtors/$n" >/dev/null
    echo "client $client, debtor $n: entry $entry, zone $(field lovage-availability-zone <"$logs/headers"), endpoint $(field lovage-endpoint <"$logs/headers"), $(field lovage-outcome <"$logs/headers")"
  done
}
run_lookups 1 10.11.0.7
run_lookups 3 10.11.32.7

echo "== an action, and a retry with the same idempotency key"
first=$(entries_of 1 10.11.0.7)
entry=$(grep -o '"address":"[^"]*"' <<<"$first" | head -1 | cut -d'"' -f4)
owner=$(grep -o '"owner":"[^"]*"' <<<"$first" | head -1 | cut -d'"' -f4)
for attempt in 1 2; do
  call -D "$logs/headers" -X POST -d 'debtor=7' -H "Authorization: Bearer $key" \
    -H "Idempotency-Key: $owner.demo-1" "$entry/notices/letters" >"$logs/body"
  echo "attempt $attempt: $(head -1 "$logs/headers" | tr -d '\r'), $(field lovage-outcome <"$logs/headers"), replayed: $(field lovage-replayed <"$logs/headers" || true)"
done
runs=$(call 127.0.0.1:17101/runs | grep -o "$owner.demo-1\":[0-9]*" | cut -d: -f2 | awk '{ n += $1 } END { print n + 0 }')
echo "endpoints ran the action $runs time(s)"
[ "$runs" = 1 ]

echo "== a request without a workspace key"
call -o /dev/null -w 'status %{http_code}\n' "$entry/files/debtors/1"

echo "== stop"
for pid in "${pids[@]}"; do
  kill -TERM "$pid"
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
pids=()
kill -TERM "$standin_pid"
wait "$standin_pid"
standin_pid=
echo "every process exited with status 0"
