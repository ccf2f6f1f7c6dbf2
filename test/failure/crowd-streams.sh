#!/usr/bin/env bash
# Callers that send requests without end and take their answers leave the memory of the
# proxy to others: of each, no more is held than what is read ahead.
set -u
. "$(dirname "$0")/../support/crowd.bash"
start_site 13000 --max-body-bytes 16777216 --max-callers 64
# The program, its state, and 128 KiB for each caller: docs/CAPACITY.md.
python3 "$root/test/support/crowd.py" play streams --proxy "$proxy" --pid "$proxy_id" \
  --callers $callers --seconds $seconds_of_play --memory-mb 48 --descriptors $max_fds
