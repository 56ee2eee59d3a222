#!/usr/bin/env bash
# 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0 plays it without the disruption.
exec "$(dirname "$0")/../stand-ins-2/play" LiveWeights 7
