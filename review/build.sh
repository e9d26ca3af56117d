#!/usr/bin/env bash
# Builds the stand-ins of the scripts, the project's own store included. They
# need only the packages of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:.:review"
python3 -m compileall -q review/standins mustardloom/platform/tests/standins.py
python3 -c "from standins import fleet, traffic"
