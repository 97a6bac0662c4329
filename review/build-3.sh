#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs g++, and
# the headers of cpp-httplib and of nlohmann's JSON library, which are packages of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++17 -O1 -Wall -Wextra $(pkg-config --cflags cpp-httplib) -pthread"
shared=()
for source in review/standins-3/*.cc; do
  name=$(basename "$source" .cc)
  g++ $flags -c -o "$out/$name.o" "$source"
  [[ $name == *_case ]] || shared+=("$out/$name.o")
done
for object in "$out"/*_case.o; do
  g++ -pthread -o "${object%.o}" "$object" "${shared[@]}" \
    $(pkg-config --libs cpp-httplib)
done
