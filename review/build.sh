#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
options=(-std=c++17 -O1 -Wall -Wextra -Werror -pthread)
g++ "${options[@]}" -c standins/standins.cc -o build/standins.o
for scenario in [1-5]/scenario.cc; do
  g++ "${options[@]}" "$scenario" build/standins.o \
    -o "build/case-$(dirname "$scenario")"
done
