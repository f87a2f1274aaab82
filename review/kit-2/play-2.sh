#!/bin/sh
# Plays one case: review/kit-2/play-2.sh NUMBER SCENARIO, with TROUBLE=0 without its disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/kit-2/build ] || { echo "run the build of the deploy file, then review/build-2.sh" >&2; exit 2; }
temp=$(mktemp -d) || exit 2
java -cp "review/kit-2/build:target/pepperdock.jar" Case "$2" "$PWD" "$temp" "$PWD/review/$1/record.txt" "${TROUBLE:-1}"
status=$?
rm -rf "$temp"
exit $status
