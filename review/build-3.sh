#!/usr/bin/env bash
# Builds the stand-ins and drivers of the third review's cases into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -I. -DBOOST_ASIO_NO_DEPRECATED)
g++ "${flags[@]}" -c review/standins-3/harness.cpp -o "$out/harness.o" &
for source in review/1[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" -c "$source" -o "$out/case-$number.o" &
done
for job in $(jobs -p); do
  wait "$job"
done
for object in "$out"/case-*.o; do
  g++ "$object" "$out/harness.o" -o "${object%.o}" -lboost_json -pthread
done
