#!/bin/sh
# Runs a case with the entry program of the deploy file:
#   review/standins-2/run.sh CASE FOLDER
# Writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n '/^\[roles\.entry\]/,/^\[/s/^run = "\(.*\)"$/\1/p' deploy/system.toml)
program=target/review-2/$1
if [ -z "$command" ] || [ ! -x "${command%% *}" ] || [ ! -x "$program" ]; then
  echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
# The command is split at spaces, as the deploy file says.
# shellcheck disable=SC2086
"$program" "$2/record.txt" $command
code=$?
[ "$code" -le 2 ] || code=2
grep " case " "$2/record.txt" | tail -n 12
exit "$code"
