#!/usr/bin/env bash
# Exits with 1 if a call that may run once ran twice, 0 if none did, 2 if not played.
exec "$(dirname "$0")/../play.sh" LateRejection 1
