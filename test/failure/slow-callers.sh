#!/usr/bin/env bash
# Callers within the limits that are slow are served whole: a body at 1 Mbit/s takes
# longer than a head may, and a reader pauses for longer than a dead peer is awaited.
set -u
. "$(dirname "$0")/../support/crowd.bash"
memory_mb=160
max_fds=4100
start_site 31000 --max-body-bytes 67108864
head -c 1500000 /dev/zero >"$run/body"
failed=0
expect() { # NAME WANTED GOT
  if [ "$2" = "$3" ]; then echo "ok $1"; else echo "FAILED $1: $3, wanted $2"; failed=1; fi
}
# curl reads in bursts, with pauses of some seconds between them.
curl -s -m 50 --limit-rate 125k -X PUT -H Expect: -T "$run/body" -o /dev/null \
  -w '%{http_code}' "http://$proxy/ledger/upload" >"$run/upload" &
upload=$!
curl -s -m 50 --limit-rate 300k -o /dev/null -w '%{http_code} %{size_download}' \
  "http://$proxy/ledger/history" >"$run/history"
wait $upload
expect "a body at 125 kB a second" 200 "$(cat "$run/upload")"
expect "an answer that is read slowly" "200 8388608" "$(cat "$run/history")"
exit $failed
