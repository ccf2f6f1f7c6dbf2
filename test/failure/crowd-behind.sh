#!/usr/bin/env bash
# What callers send behind requests that their targets don't answer stays within the
# memory of the machine, with what the kernel has received of it.
set -u
. "$(dirname "$0")/../support/crowd.bash"
memory_mb=64
max_fds=900
start_site 12000 --max-body-bytes 16777216 --max-callers 400
python3 "$root/test/support/crowd.py" play behind --proxy "$proxy" --pid "$proxy_id" \
  --callers 400 --seconds $seconds_of_play --memory-mb $memory_mb --count-unread \
  --descriptors $max_fds
