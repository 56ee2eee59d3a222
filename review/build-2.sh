#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start beside the router itself: the stand-ins and clients of stand-ins-2.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p stand-ins-2/target
javac -encoding UTF-8 -d stand-ins-2/target stand-ins-2/src/review2/*.java
