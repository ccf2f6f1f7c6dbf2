#!/usr/bin/env bash
# Callers that send large bodies, whole, in pieces or a byte short of their end and stay
# open, don't run the proxy out of memory.
set -u
. "$(dirname "$0")/../support/crowd.bash"
play_crowd bodies 26000
