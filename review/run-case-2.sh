#!/bin/sh
# Runs one case: run-case-2.sh NUMBER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
[ -r target/tamarindroute.jar ] && [ -r "target/review-2/Case$1.class" ] || {
    echo "not built: the deploy file's build, then review/build-2.sh" >&2
    exit 2
}
exec java -cp target/review-2 "Case$1" "review/$1"
