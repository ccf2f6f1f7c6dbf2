#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the daemon of the deploy
# file. Their store, workers and clients are Python programs of review/standin-2, which
# need the standard library only: they are checked for syntax here.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 of packages.txt is missing" >&2; exit 2; }
[ -x ../target/vanillascaled ] || echo "note: run the build of deploy/system.toml first" >&2
python3 -B - <<'PY'
import ast, glob
for name in sorted(glob.glob("standin-2/*.py") + glob.glob("[6-9]/case.py") + glob.glob("10/case.py")):
    with open(name, encoding="utf-8") as it:
        ast.parse(it.read(), name)
    print("checked", name)
PY
