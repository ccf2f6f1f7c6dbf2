#!/usr/bin/env bash
# Each version that the store acknowledges after it was restored from an older copy is in
# force in time at each process, and no process goes back: drills in a row, with new
# records below and past the old ends, processes that start again meanwhile, a process
# that is cut off from the store over two restores, slow answers, restores within a second
# of each other, and a history that is dropped. Passes its arguments on to drill.py.
set -u
. "$(dirname "$0")/../../scripts/lib.sh"
failed=0
common=(--daemon "$build/vanillascaled" "$@")
play() {
  echo "drill.py $*"
  timeout 60 python3 "$root/test/support/drill.py" "${common[@]}" "$@" || failed=1
}
play --drills 2 --away 0.5
play --gap
play --nodes 6 --zones 2 --late-nodes 2 --again 2
play --drills 2 --cut 1 --changes 1
play --restores 3 --slow 0.3 --changes 1
play --dropped-history --changes 1
exit $failed
