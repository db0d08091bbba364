#!/bin/sh
# See claim.txt. Needs the build of the deploy file and review/build-2.sh.
here="$(cd "$(dirname "$0")" && pwd)"
exec sh "$here/../standins-2/run-case.sh" order "$here"
