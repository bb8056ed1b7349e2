#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/case-7
export NODE_PROGRAM=target/bin/buckthorncart-node
export RECORD=$folder/record.txt
[ -x "$program" ] && [ -x "$NODE_PROGRAM" ] || exit 2
timeout --kill-after=5 110 "$program"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
