#!/usr/bin/env bash
# Exits with 1 if a call that may run once ran twice, 0 if none did, 2 if not played.
# TROUBLE=0 plays the same with no late copy of a rejection.
set -euo pipefail
TROUBLE=${TROUBLE:-1} exec "$(dirname "$0")/../play.sh" LateRejection 1
