#!/bin/sh
# play.sh DRIVER FOLDER: runs a driver from the repository's root, which writes FOLDER/record.txt, for 110 s at most.
driver=
trap '[ -z "$driver" ] || kill "$driver"; exit 2' TERM INT HUP
[ -d review/build ] || { echo "review/build.sh has not run" >&2; exit 2; }
timeout -k 5 110 java -Xmx256m -cp review/build "$1" "$2" &
driver=$!
wait "$driver"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
