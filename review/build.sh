#!/usr/bin/env bash
# Builds the program of each script from its folder and the stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for trial in review/[1-5]/trial.cc; do
  case_number="$(basename "$(dirname "$trial")")"
  c++ -std=c++20 -O1 -pthread -o "target/review/trial-$case_number" "$trial" \
    review/stand/*.cc
done
