# Common steps of the scripts: packages, the build, and a small site on loopback
# addresses. Sourced, not run. Every process that is started is noted by its id and
# ended by it.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build="${BUILD_DIR:-$root/build}"
pids=()

install_packages() {
  local missing=()
  while read -r package; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done <"$root/packages.txt"
  [ ${#missing[@]} -eq 0 ] && return
  echo "installing: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
    "${missing[@]}" >/dev/null
}

# build DIR [cmake arguments]: configures and builds everything in DIR.
build_in() {
  local dir=$1
  shift
  cmake -S "$root" -B "$dir" -G Ninja "$@" >"$dir.log" 2>&1 &&
    ninja -C "$dir" >>"$dir.log" 2>&1 || {
    tail -40 "$dir.log" >&2
    return 1
  }
}

# start NAME COMMAND...: starts a process; its output goes to $run/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  last_pid=$!
  pids+=("$last_pid")
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  pids=()
}

# await SECONDS COMMAND...: repeats a command until it succeeds.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -ge $end ] && return 1
    sleep 0.05
  done
}

http_ok() { curl -fsS -m 2 "http://$1"; }

# The site: one platform, the targets of four services, and proxies of two
# environments, in three zones each.
platform=127.0.0.1:21000
declare -A targets_of admins_of proxies_of proxy_pid vm_entries
target_options=(--mean-ms 4 --long-factor 50)

start_platform() {
  start platform "$build/platform-standin" "$platform"
  await 10 http_ok "$platform/vms"
}

# start_targets ENVIRONMENT SERVICE COUNT FIRST_PORT
start_targets() {
  local environment=$1 service=$2 count=$3 port=$4 i
  for ((i = 0; i < count; i++)); do
    local address=127.0.0.1:$((port + i))
    start "target-$service-$i" "$build/target-standin" --listen "$address" \
      "${target_options[@]}"
    targets_of[$environment]+="$address "
    vm_entries[$address]="{\"group\":\"$service\",\"address\":\"$address\",\"zone\":\"zone-$((i % 3))\",\"slots\":${target_slots:-3}}"
  done
}

# start_proxy ENVIRONMENT INDEX FIRST_PORT: callers at the port, peers at +100,
# admin at +200.
start_proxy() {
  local environment=$1 i=$2 port=$(($3 + $2))
  local peer=127.0.0.1:$((port + 100)) admin=127.0.0.1:$((port + 200))
  start "proxy-$environment-$i-$SECONDS" "$build/vanillascaled" \
    --listen "127.0.0.1:$port" --peer "$peer" --admin "$admin" \
    --platform "$platform" --zone "zone-$((i % 3))" \
    --environment "$environment" --vm-group "proxies-$environment"
  proxy_pid[$environment-$i]=$last_pid
}

# start_proxies ENVIRONMENT COUNT FIRST_PORT
start_proxies() {
  local environment=$1 count=$2 port=$3 i
  for ((i = 0; i < count; i++)); do
    local peer=127.0.0.1:$((port + i + 100)) admin=127.0.0.1:$((port + i + 200))
    start_proxy "$environment" "$i" "$port"
    proxies_of[$environment]+="127.0.0.1:$((port + i)) "
    admins_of[$environment]+="$admin "
    vm_entries[$peer]="{\"group\":\"proxies-$environment\",\"address\":\"$peer\",\"admin\":\"$admin\",\"zone\":\"zone-$((i % 3))\"}"
  done
}

publish_vms() {
  local list
  list=$(printf '%s,' "${vm_entries[@]}")
  curl -fsS -m 2 -X POST --data-binary "{\"vms\":[${list%,}]}" \
    "http://$platform/vms" >/dev/null
}

all_ready() {
  local admin
  for admin in ${admins_of[$1]}; do
    http_ok "$admin/ready" >/dev/null || return 1
  done
}

# promote ENVIRONMENT FILE [options]
promote() {
  local environment=$1 file=$2
  shift 2
  "$build/vanillascale" promote "$file" --platform "$platform" --who "${who:-demo}" \
    --vm-group "proxies-$environment" "$@"
}
