#!/bin/sh
# Builds the stand-ins and programs of the cases 6 to 10, and what was seen
# beside them, into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
build() {
  g++ -std=c++20 -O1 -Wall -pthread -o "target/review-2/$2" "$1"
}
for Case in 6 7 8 9 10; do
  build "review/$Case/case.cpp" "case-$Case"
done
build review/observed_2/no_content.cpp no_content
