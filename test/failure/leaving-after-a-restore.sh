#!/usr/bin/env bash
# A worker that reports that it is leaving in a restored store gets no requests, whether
# its record is below the end that processes had read to, or later records pass that end,
# also if the store is slow, is restored again at once, or has dropped its history, and
# if a process is cut off from the store. Passes its arguments on to drill.py.
set -u
. "$(dirname "$0")/../../scripts/lib.sh"
failed=0
common=(--daemon "$build/vanillascaled" --drills 0 "$@")
play() {
  echo "drill.py $*"
  timeout 60 python3 "$root/test/support/drill.py" "${common[@]}" "$@" || failed=1
}
play --silent
play --gap --silent
play --silent --restores 3 --slow 0.3
play --silent --dropped-history --cut 1
exit $failed
