#!/usr/bin/env bash
# Tests that two builds are compatible: processes of both in one control group, and the new build on settings and data
# of the old one:
#     tools/mixed_versions.sh OLD_BUILD NEW_BUILD
# A build folder contains src/briarspard. All processes listen on loopback addresses.
set -eu
cd "$(dirname "$0")/.."
python3 -W ignore platform/testing/mixed_versions.py "$1" "$2"
python3 -W ignore tools/fleet/mixed_fleet.py "$1" "$2"
