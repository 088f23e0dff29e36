#!/bin/bash
# Plays case 3: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. It needs bin/quincerail, built as the deploy file says.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/quincerail ]; then
  echo "bin/quincerail is not built" >&2
  exit 2
fi
if [ ! -x review/bin/standins ]; then
  review/build.sh || exit 2
fi
timeout -k 5 112 review/bin/standins full "$PWD" "$PWD/review/3"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
