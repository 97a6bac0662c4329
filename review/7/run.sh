#!/bin/sh
# Large scheduled jobs come at once.
exec "$(dirname "$0")/../standins-2/run.sh" schedule_case review/7
