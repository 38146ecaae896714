#!/bin/bash
# An inventory is rewritten in place, and a SIGHUP comes between the two writes.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
for program in ../../bin/harepass ../standins-2/bin/standins-2; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
timeout -k 2 115 ../standins-2/bin/standins-2 rewrite . &
driver=$!
trap "kill $driver 2>/dev/null; wait $driver; exit 2" TERM INT
wait "$driver"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
