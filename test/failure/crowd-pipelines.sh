#!/usr/bin/env bash
# Callers that send many requests behind each other and read no answer don't run the proxy
# out of memory.
set -u
. "$(dirname "$0")/../support/crowd.bash"
play_crowd pipelines 19000
