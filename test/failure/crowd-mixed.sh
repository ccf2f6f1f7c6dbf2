#!/usr/bin/env bash
# Callers that send bodies and read answers badly in all ways at once don't run the proxy
# out of memory.
set -u
. "$(dirname "$0")/../support/crowd.bash"
play_crowd mix 29000
