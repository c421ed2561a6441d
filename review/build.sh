#!/bin/sh
# Builds the stand-ins and judges of the cases: review/bin/cases. Uses the standard library only.
cd "$(dirname "$0")/.." && mkdir -p review/bin && go build -o review/bin/ ./review/cases
