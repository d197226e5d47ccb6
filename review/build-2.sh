#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later. The deploy file's
# build comes first; it needs no package beyond those.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o ../../target/review-2/cases \
  net.cc platform.cc fleet.cc cases.cc
