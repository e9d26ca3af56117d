#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are programs of the standard
# library of Python alone, so they are only checked and compiled here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q stand_ins_2
