#!/usr/bin/env bash
# A worker that reports that it is leaving in a restored store gets no requests, whether
# its record is below the end that processes had read to, or later records pass that end.
set -u
. "$(dirname "$0")/../../scripts/lib.sh"
failed=0
play() {
  echo "drill.py $*"
  timeout 60 python3 "$root/test/support/drill.py" --daemon "$build/vanillascaled" --drills 0 "$@" || failed=1
}
play --silent
play --gap --silent
exit $failed
