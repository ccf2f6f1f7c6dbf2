#!/usr/bin/env bash
# All processes are killed, and the seeds start again after the others or never. The
# nodes that run find each other. Guards against a fleet that stays apart (review/6).
set -u
. "$(dirname "$0")/../../scripts/lib.sh"
failed=0
for option in "" --never; do
  timeout 60 python3 "$root/test/support/meet.py" --daemon "$build/vanillascaled" $option ||
    failed=1
done
exit $failed
