#!/bin/sh
# Starts three voters and two successors as separate processes; see claim.txt. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/case1 review/1
