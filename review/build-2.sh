#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start beside the router itself: the stand-ins and clients of stand-ins-2, and the
# fleet daemon, whose libraries Maven takes from its local folder, or else fetches.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/stand-ins-2/target
javac -encoding UTF-8 -d review/stand-ins-2/target review/stand-ins-2/src/review2/*.java
mvn -o -q -B -DskipTests -pl fleet -am package || mvn -q -B -ntp -DskipTests -pl fleet -am package
