#!/usr/bin/env bash
# Each version that the store acknowledges after it was restored from an older copy is in
# force in time at each process, and no process goes back: drills in a row, with new
# records below and past the old ends, and processes that start again meanwhile.
set -u
. "$(dirname "$0")/../../scripts/lib.sh"
failed=0
play() {
  echo "drill.py $*"
  timeout 60 python3 "$root/test/support/drill.py" --daemon "$build/vanillascaled" "$@" || failed=1
}
play --drills 2 --away 0.5
play --gap
play --nodes 6 --zones 2 --late-nodes 2 --again 2
exit $failed
