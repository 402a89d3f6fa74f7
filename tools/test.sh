#!/usr/bin/env bash
# Installs the packages, builds, and runs all tests. Failures of the tests listed in KNOWN-RED.txt are printed but do
# not fail the run.
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
