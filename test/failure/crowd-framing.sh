#!/usr/bin/env bash
# Callers with chunk extensions, trailers without end, very small chunks and bodies for no
# route don't run the proxy out of memory.
set -u
. "$(dirname "$0")/../support/crowd.bash"
play_crowd framing 18000
