#!/usr/bin/env bash
# Sets up, builds and runs all tests. Cases listed in KNOWN-RED.txt are printed and not counted.
set -eu
cd "$(dirname "$0")/.."
.ci/install
cmake -S . -B build -G Ninja > /dev/null
ninja -C build -j "${BRIARSPAR_JOBS:-10}" --quiet
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
cd build
if [ -n "$known" ]; then
  echo "known failures, run and not counted:"
  ctest --output-on-failure -j 4 -R "^($known)\$" || true
  ctest --output-on-failure -j 4 -E "^($known)\$"
else
  ctest --output-on-failure -j 4
fi
