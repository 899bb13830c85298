#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 from their sources, after the build of the deploy file. The router itself is
# that build's.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for folder in review/6 review/7 review/8 review/9 review/10; do
  [ -e "$folder/case.cpp" ] || continue
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "$folder/case.cpp" -o "build/review/case-$(basename "$folder")"
done
