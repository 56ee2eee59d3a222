#!/bin/sh
# Builds what the cases start beside the router: the stand-ins, plain Java without a dependency, into review/build, and the project's
# own fleet daemon (case 4). The daemon's libraries come from Maven's local folder where they are there already, else from its registry;
# where neither has them case 4 cannot run (exit code 2) and the others can.
set -eu
cd "$(dirname "$0")"
mkdir -p build
javac -Xlint:all -Werror -d build src/*.java
cd ..
[ -n "${STAND_INS_ONLY:-}" ] || mvn -q -o -B -ntp -DskipTests -pl fleet -am package 2> /dev/null || mvn -q -B -ntp -DskipTests -pl fleet -am package \
    || echo "the fleet daemon could not be built: case 4 cannot run" >&2
