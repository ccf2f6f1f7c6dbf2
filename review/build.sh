#!/usr/bin/env bash
# Builds every program that the scripts of the cases start beside the daemon.
set -eu
cd "$(dirname "$0")"
mkdir -p build-cases
for case in [1-5]; do
  [ -f "$case/case.cpp" ] || continue
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "build-cases/case-$case" "$case/case.cpp"
done
