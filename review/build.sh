#!/usr/bin/env bash
# Builds the stand-ins and the cases that are scripts, after the build of the
# deploy file, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-9]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review/case$number"
done
