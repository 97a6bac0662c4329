#!/usr/bin/env bash
# Tests the programs as a new user runs them: help, settings, exit codes and the
# HTTP endpoints of one instance.
# Usage: programs_test.sh BUILD_DIRECTORY SOURCE_DIRECTORY
set -u
build=$1
source=$2
daemon=$build/daemons/mulberryvalved
ctl=$build/daemons/mulberryvalvectl
work=$(mktemp -d)
pids=()
bad=0
trap 'for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done; rm -rf "$work"' EXIT

expect() { # CODE PATTERN COMMAND...
  local want=$1 pattern=$2 code=0
  shift 2
  "$@" >"$work/out" 2>&1 || code=$?
  if [ "$code" != "$want" ] || ! grep -Eq -- "$pattern" "$work/out"; then
    echo "FAILED: $* gave $code, wanted $want and /$pattern/; it said:"
    cat "$work/out"
    bad=1
  fi
}

. "$source/demo/free_ports.sh"
read -r caller peer platform <<<"$(free_ports 3)"
settings=(--instance=north-1 --domain=north --domains=north
  --caller-listen="127.0.0.1:$caller" --peer-listen="127.0.0.1:$peer"
  --platform="127.0.0.1:$platform")

expect 0 'caller-listen' "$daemon" --help
expect 0 'mulberryvalved [0-9]' "$daemon" --version
expect 0 'settings are good' "$daemon" "${settings[@]}" --check-settings
expect 0 '^lease-ms=30000 \(default\)' "$daemon" "${settings[@]}" --print-settings
expect 0 '^lease-ms=4000 \(env\)' \
  env MULBERRYVALVE_LEASE_MS=4000 "$daemon" "${settings[@]}" --print-settings
expect 0 'settings are good' \
  env MULBERRYVALVE_ENDPOINT=127.0.0.1:1 "$daemon" "${settings[@]}" --check-settings
expect 2 'unknown_variable' \
  env MULBERRYVALVE_NONE=1 "$daemon" "${settings[@]}" --check-settings
expect 2 'platform.*missing' "$daemon" --instance=a --check-settings
expect 2 'out_of_range' "$daemon" "${settings[@]}" --lease-ms=1
expect 2 'unknown_flag' "$daemon" "${settings[@]}" --no-such=1
expect 2 'duplicate' "$daemon" "${settings[@]}" --peers=127.0.0.1:1,127.0.0.1:1
expect 2 'not_an_ip_number' "$daemon" "${settings[@]}" --peers=host:1

expect 0 'Exit codes' "$ctl" --help
while read -r command; do
  # shellcheck disable=SC2086
  expect 0 "Usage: mulberryvalvectl $command" "$ctl" $command --help
done <<'END'
bundle check
bundle publish
bundle sign-off
bundle show
bundle diff
domain out
domain return
domain list
job submit
job cancel
job status
job explain
job list
request
status
workers
audit
END
expect 2 'command: not_allowed' "$ctl" frobnicate
expect 0 'is good' "$ctl" bundle check "$source/examples/lochside.json"
expect 0 'is good' "$ctl" bundle check "$source/examples/harbor-and-vine.json"
sed 's/"name"/"title"/' "$source/examples/lochside.json" >"$work/bad.json"
expect 3 'name: missing' "$ctl" bundle check "$work/bad.json"
expect 3 'title: unknown_field' "$ctl" bundle check "$work/bad.json"
head -c 300000 /dev/zero | tr '\0' ' ' >"$work/large.json"
expect 3 'too_large' "$ctl" bundle check "$work/large.json"
expect 8 'no connection' "$ctl" status --endpoint=127.0.0.1:1

"$build/standins/platformd" --listen "127.0.0.1:$platform" >"$work/platformd" 2>&1 &
pids+=($!)
"$daemon" "${settings[@]}" >"$work/daemon" 2>&1 &
pids+=($!)
export MULBERRYVALVE_ENDPOINT=127.0.0.1:1,127.0.0.1:$caller
tries=0
reads_log() { "$ctl" status 2>/dev/null | grep -q 'log reachable: yes'; }
until reads_log; do
  tries=$((tries + 1))
  if [ "$tries" -gt 200 ]; then
    echo "FAILED: the instance does not read the platform's log; its own log:"
    cat "$work/daemon"
    exit 1
  fi
  sleep 0.1
done

url=http://127.0.0.1:$caller
expect 0 '"healthy":true' curl -sS -m 5 $url/healthz
expect 0 '503' curl -sS -m 5 -o /dev/null -w '%{http_code}' $url/readyz
expect 0 '^# TYPE ' curl -sS -m 5 $url/metrics
expect 0 '"error":"malformed".*Content-Length' \
  curl -sS -m 5 -X POST $url/v1/jobs -H 'Content-Length:'
expect 0 '413' curl -sS -m 5 -o /dev/null -w '%{http_code}' \
  --data-binary "@$work/large.json" $url/v1/jobs

# A bad, oversized or unsigned bundle changes nothing.
changes() { "$ctl" audit --output=json | grep -c '"kind": "bundle_'; }
expect 3 'name: missing' "$ctl" bundle publish "$work/bad.json" --operator=ann
expect 3 'too_large' "$ctl" bundle publish "$work/large.json" --operator=ann
expect 4 'not_found' "$ctl" bundle show 0
[ "$(changes)" = 0 ] || { echo "FAILED: a refused bundle left a trace"; bad=1; }
example=$source/examples/lochside.json
expect 0 'not in force yet' "$ctl" bundle publish "$example" --operator=ann
expect 3 'unsigned' "$ctl" bundle sign-off 1 --digest=0 --operator=ann
expect 0 'version 0' "$ctl" status
expect 5 'won by version 1 of ann' \
  "$ctl" bundle publish "$example" --operator=bo --expected=0
digest=$("$ctl" bundle check "$example" | sed -n 's/^digest //p')
expect 0 'signed off' "$ctl" bundle sign-off 1 --digest="$digest" --operator=ann
expect 0 'bundle in force: version 1' "$ctl" status
expect 0 '200' curl -sS -m 5 -o /dev/null -w '%{http_code}' $url/readyz
sed 's/"version": 1/"version": 2/; s/"max_attempts": 5/"max_attempts": 6/' \
  "$example" >"$work/two.json"
expect 0 'published version 2' "$ctl" bundle publish "$work/two.json" --operator=bo
expect 0 'max_attempts: 5 -> 6' "$ctl" bundle diff 1 2

expect 0 'is out' "$ctl" domain out north --operator=ann --reason=works
expect 5 'won by ann, who set north out' \
  "$ctl" domain return north --operator=bo --expected=0
expect 0 '^north +out .* ann +works' "$ctl" domain list
expect 0 'is in' "$ctl" domain return north --operator=ann
expect 4 'not_found' "$ctl" domain out nowhere --operator=ann
expect 0 'ann  domain_changed domain north' "$ctl" audit
expect 0 'REFUSED \(conflict\), won by offset' "$ctl" audit

job=$("$ctl" job submit --name=a --output=json | sed -n 's/.*"job": "\(.*\)",*$/\1/p')
expect 0 'submitted before' "$ctl" job submit --name=a
expect 0 'queued' "$ctl" job explain "$job"
expect 0 "$job" "$ctl" job list
expect 0 'being cancelled' "$ctl" job cancel "$job" --operator=ann
expect 4 'not_found' "$ctl" job status north.0.none
expect 3 'payload' "$ctl" job submit --payload=nonsense
expect 6 'not_run' "$ctl" request
expect 0 'WORKER' "$ctl" workers

for ((at = ${#pids[@]} - 1; at >= 0; at--)); do
  kill -TERM "${pids[$at]}"
  code=0
  wait "${pids[$at]}" || code=$?
  [ "$code" = 0 ] || { echo "FAILED: a process ended with $code"; bad=1; }
done
pids=()
[ "$bad" = 0 ] && echo "all as expected"
exit "$bad"
