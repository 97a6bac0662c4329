#!/bin/sh
# The owner freezes with starts in its queue; a worker restarts meanwhile.
exec "$(dirname "$0")/../standins-2/run.sh" late_start_case review/7
