#!/usr/bin/env bash
# A proxy that is told to stop while callers send bodies and read answers badly ends by
# itself, within the memory of its machine.
set -u
. "$(dirname "$0")/../support/crowd.bash"
start_site 11000 --max-body-bytes 16777216 --max-callers 64 --stop-within-ms 6000
python3 "$root/test/support/crowd.py" play mix --proxy "$proxy" --pid "$proxy_id" \
  --callers $callers --seconds $seconds_of_play --memory-mb $memory_mb \
  --descriptors $max_fds >"$run/play" &
pids+=($!)
sleep 5
kill -TERM "$proxy_id"
peak_kib=0
end=$((SECONDS + 60))
while kill -0 "$proxy_id" 2>/dev/null && [ $SECONDS -lt $end ]; do
  now_kib=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$proxy_id/status" 2>/dev/null)
  peak_kib=${now_kib:-$peak_kib}
  sleep 0.05
done
failed=0
check() { # NAME CONDITION...
  local name=$1
  shift
  if "$@"; then echo "ok $name"; else echo "FAILED $name"; failed=1; fi
}
if kill -0 "$proxy_id" 2>/dev/null; then
  echo "FAILED the proxy is still there"
  exit 1
fi
wait "$proxy_id"
status=$?
check "it ended in order, exit $status" [ $status = 0 ]
peak_mb=$((peak_kib * 1024 / 1000000))
check "$peak_mb MB of $memory_mb" [ $peak_mb -le $memory_mb ]
exit $failed
