#!/usr/bin/env bash
# Compares requests through one entry process with requests sent straight at the
# workers, in one run. Stops only what it started.
# Usage: bench/load/run.sh BUILD_DIR [SECONDS]
set -eu
build=${1:?build directory}
seconds=${2:-5}
workers=50
pids=()
scratch=$(mktemp -d)
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$scratch"
}
trap finish EXIT

port_of() { # FILE: waits for "NAME listening on IP:PORT"
  for _ in $(seq 100); do
    grep -q "listening on" "$1" && break
    sleep 0.1
  done
  grep -m1 "listening on" "$1" | sed -E 's/.*:([0-9]+).*/\1/'
}
free_port() {
  while :; do
    local port=$((20000 + RANDOM % 12000))
    ss -ltn | grep -q ":$port " || { echo $port; return; }
  done
}
start() { # FILE COMMAND...
  local file=$1
  shift
  "$@" >"$scratch/$file" 2>&1 &
  pids+=($!)
}

start platform "$build/standins/platformd" --listen 127.0.0.1:0
platform=$(port_of "$scratch/platform")
start worker "$build/standins/workerd" --listen 127.0.0.1:0 \
  --platform 127.0.0.1:"$platform" --count $workers --prefix w --domain a
worker=$(port_of "$scratch/worker")
caller=() peer=() entry=()
for i in 0 1; do caller+=("$(free_port)"); peer+=("$(free_port)"); done
for i in 0 1; do
  start "entry$i" "$build/daemons/mulberryvalved" --instance=e-$i --domain=a \
    --domains=a --caller-listen=127.0.0.1:"${caller[$i]}" \
    --peer-listen=127.0.0.1:"${peer[$i]}" \
    --peers=127.0.0.1:"${peer[$((1 - i))]}" \
    --platform=127.0.0.1:"$platform" --heartbeat-ms=${HEARTBEAT_MS:-500}
  entry+=("${pids[-1]}")
done
base=http://127.0.0.1:${caller[0]}
for _ in $(seq 100); do curl -sf "$base/healthz" >/dev/null && break; sleep 0.1; done
sleep 1
printf '{"version":1,"name":"load"}' >"$scratch/bundle"
digest=$(curl -s -H 'X-Operator: load' -H 'X-Expected-Version: 0' \
  -H 'Content-Type: application/json' --data-binary @"$scratch/bundle" "$base/v1/bundles" |
  sed -E 's/.*"digest":"([^"]*)".*/\1/')
curl -s -d "{}" -H "Content-Type: application/json" \
  -H "X-Operator: load" -H "X-Digest: $digest" \
  "$base/v1/bundles/1/sign-off" >/dev/null
for _ in $(seq 100); do curl -sf "$base/readyz" >/dev/null && break; sleep 0.1; done
sleep 1

jiffies() { awk '{print $14+$15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/{print $2}' "/proc/$1/status"; }
counter() {
  curl -s "http://127.0.0.1:$platform/v1/counters" |
    sed -E "s/.*\"$1\":([0-9]+).*/\1/"
}
idle=10
cpu=$(jiffies "${entry[0]}") appends=$(counter appends) reads=$(counter reads)
in=$(counter bytes_in) out=$(counter bytes_out)
sleep $idle
echo "idle entry: rss_kb $(rss_kb "${entry[0]}")," \
  "core_percent $(awk "BEGIN{print ($(jiffies "${entry[0]}")-$cpu)/$idle}")"
echo "platform, both idle entries, a second:" \
  "appends $(awk "BEGIN{print ($(counter appends)-$appends)/$idle}")," \
  "reads $(awk "BEGIN{print ($(counter reads)-$reads)/$idle}")," \
  "bytes_in $(awk "BEGIN{print ($(counter bytes_in)-$in)/$idle}")," \
  "bytes_out $(awk "BEGIN{print ($(counter bytes_out)-$out)/$idle}")"

load() { "$build/bench/load/mulberryvalve_load" --seconds "$seconds" "$@"; }
direct() { load --port "$worker" --direct-prefix w --workers $workers "$@"; }
entry_load() { load --port "${caller[0]}" "$@"; }
for round in 1 2; do
  for flags in "--connections 32 --work-ms 20 --rate 800" \
    "--connections 32 --work-ms 0"; do
    echo "direct [$flags] $(direct $flags)"
    echo "entry  [$flags] $(entry_load $flags)"
  done
done
flags="--connections 32 --work-ms 20 --rate 400"
echo "keyed  [$flags] $(entry_load $flags --keyed true)"
echo "plain  [$flags] $(entry_load $flags)"
before=$(counter appends)
entry_load --connections 32 --work-ms 0 --keyed true --rate 400
echo "appends for it: $(($(counter appends) - before))"
curl -s -X POST -d '{"outage":true}' "http://127.0.0.1:$platform/v1/faults" >/dev/null
sleep 1
echo "outage, keyed: $(load --seconds 2 --port "${caller[0]}" --connections 8 --rate 100 --keyed true)"
echo "outage, plain: $(load --seconds 2 --port "${caller[0]}" --connections 8 --rate 100)"
curl -s -X POST -d '{"outage":false}' "http://127.0.0.1:$platform/v1/faults" >/dev/null
sleep 2
echo "busy entry: rss_kb $(rss_kb "${entry[0]}")"
load --seconds 6 --port "${caller[0]}" --connections 32 --work-ms 100 --rate 200 \
  >"$scratch/drain" &
loader=$!
sleep 2
stopping=$(date +%s%N)
kill -TERM "${entry[0]}"
sleep 0.2
echo "ready while it drains: $(curl -s -o /dev/null -w '%{http_code}' "$base/readyz" || true)"
wait "${entry[0]}" || true
echo "exit after $((($(date +%s%N) - stopping) / 1000000)) ms"
wait $loader || true
echo "load over SIGTERM: $(cat "$scratch/drain")"
