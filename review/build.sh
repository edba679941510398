#!/usr/bin/env bash
# Builds the programs of the cases, which hold all stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compilers=()
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I.)
for source in review/stage/*.cpp review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  object=target/review/$(echo "${source#review/}" | tr / -).o
  "${CXX:-g++}" "${flags[@]}" -c "$source" -o "$object" &
  compilers+=($!)
done
for pid in "${compilers[@]}"; do
  wait "$pid"
done
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -pthread "target/review/$number-case.cpp.o" target/review/stage-*.o -o "target/review/case-$number"
done
