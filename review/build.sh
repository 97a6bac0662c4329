#!/usr/bin/env bash
# Builds the stand-ins of all scripts into review/build/. Needs what the deploy
# file's build needs.
set -eu
cd "$(dirname "$0")/.."
out=review/build
mkdir -p "$out"
flags=(-std=c++17 -O1 -Wall -Wextra)
shared=(store worker fleet)
objects=()
pids=()
for unit in "${shared[@]}"; do
  g++ "${flags[@]}" -c "review/standins/$unit.cc" -o "$out/$unit.o" &
  pids+=($!)
  objects+=("$out/$unit.o")
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
for case in review/standins/*_case.cc; do
  name=$(basename "$case" .cc)
  g++ "${flags[@]}" "$case" "${objects[@]}" -o "$out/$name" \
    -lcpp-httplib -lpthread
done
