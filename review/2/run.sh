#!/usr/bin/env bash
# Exits with 1 if a stream ended as complete before its last event, 0 if none did, 2 if not played.
exec "$(dirname "$0")/../play.sh" DrainedStream 2
