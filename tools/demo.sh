#!/usr/bin/env bash
# Sets up, builds and runs a small fleet on loopback: two customers, a drain and a version move. Prints what
# happened as a time line.
set -eu
cd "$(dirname "$0")/.."
.ci/install
cmake -S . -B build -G Ninja > /dev/null
ninja -C build -j "${BRIARSPAR_JOBS:-10}" --quiet
exec python3 tools/fleet/demo.py
