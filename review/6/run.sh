#!/bin/bash
# Runs this case; TROUBLE=0 runs it without the disruption. See claim.txt.
exec python3 -B "$(dirname "$(readlink -f "$0")")/case.py"
