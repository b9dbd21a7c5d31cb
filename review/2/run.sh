#!/usr/bin/env bash
# Exits with 1 if a stream ended as complete before its last event, 0 if none did, 2 if not played.
# TROUBLE=0 plays the same with no SIGTERM.
set -euo pipefail
TROUBLE=${TROUBLE:-1} exec "$(dirname "$0")/../play.sh" DrainedStream 2
