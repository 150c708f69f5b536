#!/bin/bash
# Runs one case: the class that plays it, and the file for its record. Exit codes: 1 the rule was broken, 0 it held, 2 it
# couldn't run. TROUBLE=0 plays the same without the disruption. All processes end with the Java process that starts them.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/.." && pwd)
class=$1
record=$2
[ -r "$root/target/tamarindroute.jar" ] && [ -r "$here/target/classes/$class.class" ] || {
  echo "not built: the deploy file's build and review/build.sh come first"
  exit 2
}
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 3 112 java -cp "$here/target/classes" "$class" "$root" "$folder" "$record"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
