#!/usr/bin/env bash
# Callers that break off bodies and answers don't run the proxy out of memory.
set -u
. "$(dirname "$0")/../support/crowd.bash"
play_crowd resets 16000
