#!/usr/bin/env bash
# Callers with heads that never end, heads of nearly the largest size, idle connections
# and bodies that are announced and not sent don't run the proxy out of memory.
set -u
. "$(dirname "$0")/../support/crowd.bash"
play_crowd heads 17000
