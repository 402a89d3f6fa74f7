#!/usr/bin/env bash
# Installs the packages, builds, and runs a small fleet on loopback with two customers, a drain and a version move.
# Prints the events in order of time.
set -eu
cd "$(dirname "$0")/.."
.ci/install
cmake -S . -B build -G Ninja > /dev/null
ninja -C build -j "${BRIARSPAR_JOBS:-10}" --quiet
exec python3 tools/fleet/demo.py
