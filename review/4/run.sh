#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hyssoprock-pooler ] || { echo "target/hyssoprock-pooler is missing: run the build of deploy/system.toml"; exit 2; }
timeout --kill-after=5 115 python3 review/4/case.py
status=$?
[ $status -le 1 ] && exit $status
exit 2
