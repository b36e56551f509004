#!/bin/sh
# Builds the stand-ins and programs of the cases 6 to 10 into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for Case in 6 7 8 9 10; do
  [ -f "review/$Case/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -pthread -o "target/review-2/case-$Case" \
    "review/$Case/case.cpp"
done
