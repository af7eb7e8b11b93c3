#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 runs it without the disruption.
exec python3 "$(dirname "$0")/case.py"
