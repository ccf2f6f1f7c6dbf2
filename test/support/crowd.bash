# One proxy on a machine with little memory, and a crowd of callers. Sourced by the
# scripts test/failure/crowd-*.sh, not run.
# start_site FIRST_PORT [options of the daemon]: sets $proxy, its address, and
# $proxy_id, its process.
# play_crowd KINDS FIRST_PORT: exits with 1 if the proxy exceeds its machine.

. "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib.sh"

# The machine of the proxy: its memory in MB and its descriptors. They are the bounds
# of the test.
memory_mb=96
max_fds=128
callers=24
seconds_of_play=12

start_site() {
  local port=$1 i
  shift
  run=$(mktemp -d)
  trap 'stop_all; rm -rf "$run"' EXIT
  platform=127.0.0.1:$port
  local admin=127.0.0.1:$((port + 500))
  proxy=127.0.0.1:$((port + 300))
  start_platform || exit 1
  for i in 0 1 2; do
    local target=127.0.0.1:$((port + 100 + i))
    start "target-$i" python3 "$root/test/support/crowd.py" target "$target"
    vm_entries[$target]="{\"group\":\"ledger\",\"address\":\"$target\",\"zone\":\"zone-0\",\"slots\":8}"
  done
  local options=(--listen "$proxy" --peer "127.0.0.1:$((port + 400))" --admin "$admin"
    --platform "$platform" --zone zone-0 --environment kitakaze
    --vm-group proxies-kitakaze "$@")
  # A daemon that does not know these settings refuses them; it is tried without.
  for i in memory-mb max-fds; do
    "$build/vanillascaled" --help | grep -q -- "--$i " &&
      options+=("--$i" "$([ $i = memory-mb ] && echo $memory_mb || echo $max_fds)")
  done
  ulimit -n $max_fds
  start proxy "$build/vanillascaled" "${options[@]}"
  proxy_id=$last_pid
  vm_entries[127.0.0.1:$((port + 400))]="{\"group\":\"proxies-kitakaze\",\"address\":\"127.0.0.1:$((port + 400))\",\"admin\":\"$admin\",\"zone\":\"zone-0\"}"
  publish_vms
  cat >"$run/document.json" <<'END'
{ "environment": "kitakaze",
  "services": [ { "name": "ledger", "vmGroup": "ledger", "floorPercent": 60 } ],
  "routes": [
    { "name": "upload", "service": "ledger", "method": "PUT", "path": "/ledger/upload", "priority": 3, "idempotent": true, "deadlineMs": 8000 },
    { "name": "history", "service": "ledger", "method": "GET", "path": "/ledger/history", "priority": 3, "deadlineMs": 8000 },
    { "name": "balance", "service": "ledger", "method": "GET", "path": "/ledger/balance", "priority": 1, "deadlineMs": 2000 } ] }
END
  promote kitakaze "$run/document.json" >"$run/promote.log" || { cat "$run/promote.log"; exit 1; }
  await 20 http_ok "$admin/ready" || { echo "not ready"; cat "$run/proxy.log"; exit 1; }
}

play_crowd() {
  local kinds=$1 port=$2
  start_site "$port" --max-body-bytes 16777216 --max-callers 64
  python3 "$root/test/support/crowd.py" play "$kinds" --proxy "$proxy" --pid "$proxy_id" \
    --callers $callers --seconds $seconds_of_play --memory-mb $memory_mb \
    --descriptors $max_fds
  local result=$?
  [ -z "${KEEP_LOG:-}" ] || cp "$run/proxy.log" "$KEEP_LOG"
  exit $result
}
