#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x bin/mastchute || { echo "not run: build the program first, by the build command of deploy/balancer.toml"; exit 2; }
test -x review/bin/cases || sh review/build.sh || exit 2
exec review/bin/cases -case late-attempt -record review/3/record.txt
