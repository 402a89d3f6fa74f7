#!/usr/bin/env bash
# Runs processes of two builds of any two commits in one group, and the new build on settings and data of the old one:
#     tools/mixed_versions.sh OLD_BUILD NEW_BUILD
# A build folder holds src/briarspard. Every process listens on addresses of loopback.
set -eu
cd "$(dirname "$0")/.."
python3 -W ignore platform/testing/mixed_versions.py "$1" "$2"
python3 -W ignore tools/fleet/mixed_fleet.py "$1" "$2"
