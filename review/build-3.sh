#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15, after the build of the
# deploy file, in target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B target/review-3 -G Ninja \
  -DCMAKE_BUILD_TYPE=Release >/dev/null
ninja -C target/review-3
