#!/usr/bin/env bash
# Exits with 1 if the node acts on an old configuration or list of servers, 0 if not, 2 if not played.
exec "$(dirname "$0")/../play.sh" UnreadableRow 3
