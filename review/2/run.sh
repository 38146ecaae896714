#!/bin/sh
# Runs case 2 from any folder; needs the deploy file's build and review/build.sh. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/harepass ] && [ -x review/bin/case2 ] || { echo "build first"; exit 2; }
exec review/bin/case2 review/2
