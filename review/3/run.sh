#!/bin/sh
# Plays this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
exec sh review/play.sh SpoiltAnswers review/3
