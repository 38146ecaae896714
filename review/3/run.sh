#!/bin/sh
# Runs case 3 from any folder; needs the deploy file's build and review/build.sh. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/harepass ] && [ -x review/bin/case3 ] || { echo "build first"; exit 2; }
exec review/bin/case3 review/3
