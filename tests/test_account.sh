#!/bin/sh
# Guards against an account of a workflow's time whose parts don't add up to the
# time, or that counts a part under the wrong cause.
set -e
top=$(dirname "$0")/..
log=$top/tests/account/leader.log
work=$(mktemp -d)
trap 'rm -r "$work"' EXIT

check() {
	"$top/tools/account-flows" "$@" | diff "$top/tests/account/expected.txt" -
}

check "$log"
# The leader changed, and the log of the later one is named first. Guards
# against runs and acceptances that are read in the order of the files.
head -n 4 "$log" >"$work/control-2"
tail -n +5 "$log" >"$work/control-1"
check "$work/control-1" "$work/control-2"
# Guards against negative times of workflows that are open at midnight.
sed -e 's/2026-12-06T05:00:0\([0-2]\)/2026-12-06T23:59:5\1/' \
	-e 's/T23:59:50/T23:59:57/;s/T23:59:51/T23:59:58/;s/T23:59:52/T23:59:59/' \
	-e 's/2026-12-06T05:00:03/2026-12-07T00:00:00/' \
	-e 's/2026-12-06T05:00:04/2026-12-07T00:00:01/' \
	-e 's/2026-12-06T05:00:05/2026-12-07T00:00:02/' \
	-e 's/2026-12-06T05:00:06/2026-12-07T00:00:03/' "$log" >"$work/midnight"
check "$work/midnight"
