#!/bin/sh
# Plays one case: review/kit-2/play-2.sh NUMBER SCENARIO, with TROUBLE=0 without its disruption. In place of a number it takes another
# folder below review, for the drivers beside the cases.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/kit-2/build ] || { echo "run the build of the deploy file, then review/build-2.sh" >&2; exit 2; }
mkdir -p "review/$1"
temp=$(mktemp -d) || exit 2
driver=
trap '[ -z "$driver" ] || { kill "$driver"; wait "$driver"; }; rm -rf "$temp"; exit 2' TERM INT HUP
java -Xmx512m -cp "review/kit-2/build:target/pepperdock.jar" Case "$2" "$PWD" "$temp" "$PWD/review/$1/record.txt" "${TROUBLE:-1}" &
driver=$!
wait "$driver"
status=$?
rm -rf "$temp"
[ "$status" -le 2 ] || status=2
exit "$status"
