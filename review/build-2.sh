#!/bin/sh
# Compiles the stand-ins of the second review's cases, review/standins-2/*_case.cc,
# to target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
parts="net store record worker world"
for part in $parts; do
  ${CXX:-g++} -std=c++17 -O2 -Wall -pthread -c "review/standins-2/$part.cc" \
    -o "target/review-2/$part.o" &
done
wait
for case in review/standins-2/*_case.cc; do
  name=$(basename "$case" .cc)
  ${CXX:-g++} -std=c++17 -O2 -Wall -pthread "$case" \
    $(for part in $parts; do echo "target/review-2/$part.o"; done) \
    -o "target/review-2/$name"
done
