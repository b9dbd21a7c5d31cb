#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -encoding UTF-8 -d target standin/*.java
