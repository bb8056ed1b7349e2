#!/usr/bin/env bash
# Builds the test programs of the second review into target/review-2. Each
# contains the stand-ins that it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
  [ -f "$source" ] || continue
  n=$(basename "$(dirname "$source")")
  echo "building case $n"
  "${CXX:-c++}" -std=c++20 -O1 -g -Wall -Wextra -pthread "$source" \
    -o "target/review-2/case-$n"
done
