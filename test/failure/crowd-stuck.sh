#!/usr/bin/env bash
# Callers with bodies for targets that don't read them, or don't answer, don't run the
# proxy out of memory.
set -u
. "$(dirname "$0")/../support/crowd.bash"
play_crowd stuck 14000
