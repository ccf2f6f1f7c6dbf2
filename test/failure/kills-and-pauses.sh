#!/usr/bin/env bash
# 5,000 unrepeatable requests whose callers resend at once through other proxies,
# while proxies are killed and paused and the log fails and loses answers: no key runs
# twice and every "not run" is true, checked against the targets' own records.
set -u
. "$(dirname "$0")/../../scripts/lib.sh"
run=$(mktemp -d)
trap 'stop_all; rm -rf "$run"' EXIT
platform=127.0.0.1:23000
target_options=(--mean-ms 40)
start_platform || exit 1
start_targets kitakaze ledger 6 23100
start_targets kitakaze billing 6 23200
start_proxies kitakaze 5 23300
publish_vms
promote kitakaze "$root/examples/kitakaze.json" >"$run/promote.log" || exit 1
await 20 all_ready kitakaze || { echo "not ready"; exit 1; }

start load "$build/load-tool" --document "$root/examples/kitakaze.json" \
  --route post-fee issue-invoice --proxy ${proxies_of[kitakaze]} \
  --admin ${admins_of[kitakaze]} --target ${targets_of[kitakaze]} \
  --requests 2500 --callers 6 --resend-at-once --report "$run/report.json"
load=$last_pid

fault() { curl -fsS -m 2 -X POST "http://$platform/faults?$1" >/dev/null; }
round=0
while kill -0 "$load" 2>/dev/null && [ $round -lt 60 ]; do
  victim=$((round % 5))
  case $((round % 4)) in
    0)
      kill -KILL "${proxy_pid[kitakaze-$victim]}"
      start_proxy kitakaze "$victim" 23300
      ;;
    1)
      paused=${proxy_pid[kitakaze-$victim]}
      kill -STOP "$paused"
      sleep 0.6
      kill -CONT "$paused"
      ;;
    2) fault "losePercent=30" ;;
    3) fault "losePercent=0&down=1"; sleep 0.3; fault "down=0" ;;
  esac
  sleep 0.7
  round=$((round + 1))
done
fault "losePercent=0&down=0"
wait "$load"
status=$?
cat "$run/load.log"
echo "rounds of faults: $round"
[ $round -ge 4 ] || { echo "the load ended before four faults"; exit 1; }
answered=$(jq '[.routes[].answered] | add' "$run/report.json")
[ "$answered" -ge 2500 ] || { echo "only $answered of 5000 were answered"; exit 1; }
exit $status
