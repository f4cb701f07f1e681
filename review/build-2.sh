#!/usr/bin/env bash
# Builds all that the scripts of the second review start beside the daemon: the
# project's store stand-in, the workers' stand-in and the cases' scenarios. The
# daemon itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B build-review-2 -G Ninja \
  -DCMAKE_BUILD_TYPE=Release >/dev/null
ninja -C build-review-2 site_store_standin review_workers all
ln -sf daisyarch/site_store_standin build-review-2/site_store_standin
