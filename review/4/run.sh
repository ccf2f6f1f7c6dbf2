#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/vanillascaled ] && [ -x review/build-cases/case-4 ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TMPDIR=$folder timeout -k 5 110 review/build-cases/case-4 "$here/record.txt"
result=$?
[ $result -le 2 ] || result=2
exit $result
