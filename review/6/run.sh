#!/usr/bin/env bash
# Loses a machine, restarts the others in turn, and checks RECOVER after a final fault.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/world-2 lost target/baobabdyke review/6/record.txt
