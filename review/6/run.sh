#!/usr/bin/env bash
# All processes are killed, and the seeds' machines are back later than the others: the
# fleet stays apart for good, and each part hands out a tenant's whole quota. Exit 1: the
# rule QUOTA was broken, 0: it held, 2: the case couldn't run.
# TROUBLE=0 plays the case without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
