#!/usr/bin/env bash
# Compares throughput and latency on loopback of one VM in front of two stand-in targets with those of direct calls to
# a target, at 16, 64 and 400 callers with keep-alive connections. The number of requests and the time are bounded.
set -eu
cd "$(dirname "$0")/.."
exec python3 tools/fleet/data_path.py "$@"
