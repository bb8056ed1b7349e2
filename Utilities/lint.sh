#!/usr/bin/env bash
# Runs clang-tidy on every source file with the compile commands of the given
# build directory.
set -uo pipefail
build=$1
list=$(git ls-files '*.cc')
log=$(mktemp)
# clang-tidy cannot read precompiled headers of another compiler.
mkdir -p "$build/lint"
sed -e 's/-Winvalid-pch//g' -e 's/-include [^ ]*cmake_pch\.hxx//g' \
  -e 's/-Wno-[a-z-]*//g' "$build/compile_commands.json" > "$build/lint/compile_commands.json"
printf '%s\n' $list | xargs -P "$(nproc)" -n 1 \
  clang-tidy --quiet -p "$build/lint" > "$log" 2>/dev/null
status=$?
grep -E 'warning:|error:' "$log" | sort -u
rm -f "$log"
if [ "$status" -ne 0 ]; then
  echo "lint: faults found"
  exit 1
fi
echo "lint: clean"
