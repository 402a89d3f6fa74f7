#!/usr/bin/env bash
# Runs all property tests with a random or given seed and more cases than CI: long-properties.sh [SEED] [CASES].
set -eu
cd "$(dirname "$0")/../build"
seed=${1:-$RANDOM}
cases=${2:-500}
echo "seed=$seed cases=$cases"
for program in src/*_tests; do
  case $program in
    src/forwarding_tests | src/transport_tests) continue ;; # They have no long-running property tests.
  esac
  RC_PARAMS="seed=$seed max_success=$cases" "$program" --jobs 4 2>&1 | grep -aE 'FAIL|Falsifiable|reproduce|Synthesis' | sed "s|^|$program: |"
done
