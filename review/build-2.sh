#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into build/review-2. It needs the compiler alone; the program under test is
# built by the command `build` of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  [ -f "$source" ] || continue
  echo "building case $number"
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/case$number" "$source"
done
