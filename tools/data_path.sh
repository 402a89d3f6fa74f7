#!/usr/bin/env bash
# Measures the data path on loopback: one VM in front of two stand-in targets against calling a target directly, in
# one run, at 16, 64 and 400 kept-alive callers. Bounded in requests and time.
set -eu
cd "$(dirname "$0")/.."
exec python3 tools/fleet/data_path.py "$@"
