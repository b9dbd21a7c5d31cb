#!/usr/bin/env bash
# Plays the case of the class $1 in the folder $2 of this directory: exit code 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 in the environment the case is
# played without its disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
if [ ! -e "$here/target/$1.class" ] || [ ! -e "$root/daemon/target/bilberrycart-daemon-0.1.0.jar" ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
export TROUBLE=${TROUBLE:-1}
exec java -Xmx256m -cp "$here/target" "$1" "$root" "$here/$2"
