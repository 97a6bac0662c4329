#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/build/restart_case
[ -x "$program" ] && [ -x target/platform/mulberryvalve-entry ] || exit 2
folder=$(mktemp -d) || exit 2
timeout 118 "$program" "$here/record.txt" "$folder"
code=$?
rm -rf "$folder"
[ "$code" -le 1 ] || exit 2
exit "$code"
