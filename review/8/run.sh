#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
# run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/cases
[ -x "$program" ] && [ -x target/mimosagauge ] || exit 2
folder="$(mktemp -d)" || exit 2
timeout 115 "$program" lost-region "$folder" review/8/record.txt
result=$?
rm -r "$folder"
[ "$result" -le 1 ] || result=2
exit "$result"
