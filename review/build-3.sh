#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python modules of the
# standard library alone, so this only checks that they compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'END'
import pathlib

for folder in ("stand_ins_3", "11", "12", "13", "14", "15"):
    for path in sorted(pathlib.Path("review", folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
END
