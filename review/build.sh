#!/bin/sh
# Builds the stand-ins and the drivers of all cases into review/build. Needs a JDK 17 and nothing else.
cd "$(dirname "$0")" || exit 2
rm -rf build
mkdir -p build
exec javac -Xlint:all -d build kit/*.java
