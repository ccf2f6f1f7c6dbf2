#!/usr/bin/env bash
# Callers that send chunked bodies, in large or in 1-byte chunks, and stop short of the
# last one don't run the proxy out of memory.
set -u
. "$(dirname "$0")/../support/crowd.bash"
play_crowd chunks 28000
