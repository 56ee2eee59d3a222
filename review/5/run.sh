#!/bin/sh
# Exits with 1 where the rule was broken, 0 where it held, 2 where the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -d ../build ] || { echo "review/build.sh has to be run first"; exit 2; }
exec java -Xmx512m -cp ../build DrainAfterReload ../.. .
