#!/usr/bin/env bash
# Callers that read long answers slowly don't run the proxy out of memory.
set -u
. "$(dirname "$0")/../support/crowd.bash"
play_crowd readers 27000
