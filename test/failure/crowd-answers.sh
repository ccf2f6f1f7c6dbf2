#!/usr/bin/env bash
# Callers that read long answers in chunks slowly, and targets whose answers don't end,
# don't run the proxy out of memory.
set -u
. "$(dirname "$0")/../support/crowd.bash"
play_crowd answers 15000
