#!/usr/bin/env bash
# A revision of the configuration has the same entries at every process, and the last
# one is served everywhere, while half of the processes start again together, the store
# turns a part of them away and routes move and move back.
set -u
. "$(dirname "$0")/../../scripts/lib.sh"
timeout 200 python3 "$root/test/support/storm.py" --daemon "$build/vanillascaled"
