#!/usr/bin/env bash
# One of the two ports of the store answers with the content and the era of before for
# some seconds after a restore. Each version that is acknowledged meanwhile is in force in
# time at each process, because some of them reach the other port, and a worker that leaves
# gets no requests. Guards against a zone whose reader takes these answers as current.
# Passes its arguments on to drill.py.
set -u
. "$(dirname "$0")/../../scripts/lib.sh"
echo "drill.py --late-answers 4 --drills 2"
timeout 60 python3 "$root/test/support/drill.py" --daemon "$build/vanillascaled" \
  --late-answers 4 --drills 2 "$@"
