#!/bin/sh
# Runs the named schedules, from any folder: builds what has changed, then starts the program as it would in service.
here=$(cd "$(dirname "$0")/.." && pwd) || exit 1
files=
for file in "$@"; do
    files="$files $(realpath "$file")" || exit 1
done
cd "$here" && mvn -q -DskipTests package && exec java -cp rig/target/test-classes tamarindroute.rig.ScheduleRunner $files
