#!/bin/sh
# Builds the stand-ins and the checks of the cases 6 to 10 into review/bin. The dispatcher is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/review2 ./review/stand2
