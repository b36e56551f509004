#!/usr/bin/env bash
# Builds the stand-ins and the cases that are scripts, after the build of the
# deploy file, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compile() { g++ -std=c++20 -O2 -Wall -Wextra -pthread "$1" -o "target/review/$2"; }
compile review/stand_ins/worker_main.cpp worker
compile review/observed/odd_adapter.cpp odd_adapter
for source in review/[1-9]/case.cpp; do
  compile "$source" "case$(basename "$(dirname "$source")")"
done
