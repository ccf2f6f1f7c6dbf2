#!/usr/bin/env bash
# An acknowledged configuration with a longer idle time-out is never in force, and after a
# loss of all processes none is. Exit 1: CONFIG or RECOVER was broken, 0: both held, 2:
# the case couldn't run.
# TROUBLE=0 plays the case without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
