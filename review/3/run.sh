#!/usr/bin/env bash
# Exits with 1 if the node acts on an old configuration or list of servers, 0 if not, 2 if not played.
# TROUBLE=0 plays the same with no unreadable row.
set -euo pipefail
TROUBLE=${TROUBLE:-1} exec "$(dirname "$0")/../play.sh" UnreadableRow 3
