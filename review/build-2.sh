#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
[ -f target/pepperdock.jar ] || { echo "run the build of the deploy file first" >&2; exit 2; }
rm -rf review/kit-2/build
mkdir -p review/kit-2/build || exit 2
javac -nowarn -cp target/pepperdock.jar -d review/kit-2/build review/kit-2/*.java
