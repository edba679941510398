#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/. Needs the compiler of the deploy file's packages, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -I.)
"${CXX:-g++}" "${flags[@]}" -c review/harness-2/harness.cpp -o "$out/harness.o"
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  [ -e "$source" ] || continue
  "${CXX:-g++}" "${flags[@]}" "$source" "$out/harness.o" -o "$out/case-$number" &
done
for job in $(jobs -p); do
  wait "$job"
done
