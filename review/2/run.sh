#!/bin/sh
# Starts three voters and a successor as separate processes; see claim.txt. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/case2 review/2
