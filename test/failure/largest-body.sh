#!/usr/bin/env bash
# The largest body passes the smallest machine when it is idle, with a length and in
# chunks, and the machine's memory holds.
set -u
. "$(dirname "$0")/../support/crowd.bash"
memory_mb=160
max_fds=4100
start_site 30000 --max-body-bytes 67108864
head -c 67108864 /dev/zero >"$run/large"
failed=0
for coding in "" "Transfer-Encoding: chunked"; do
  got=$(curl -s -m 20 -o /dev/null -w '%{http_code}' -X PUT -H Expect: -H "$coding" \
    -T "$run/large" "http://$proxy/ledger/upload")
  [ "$got" = 200 ] && echo "ok 64 MiB, $coding" || { echo "FAILED $got, wanted 200, $coding"; failed=1; }
done
peak_kib=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$proxy_id/status")
peak_mb=$((peak_kib * 1024 / 1000000))
[ $peak_mb -le $memory_mb ] && echo "ok $peak_mb MB of $memory_mb" ||
  { echo "FAILED $peak_mb MB of $memory_mb"; failed=1; }
exit $failed
