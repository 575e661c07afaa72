#!/bin/sh
# Guards against an account of a workflow's time whose parts don't add up to the
# time, or that counts a part under the wrong cause.
top=$(dirname "$0")/..
"$top/tools/account-flows" "$top/tests/account/leader.log" |
	diff "$top/tests/account/expected.txt" -
