#!/bin/sh
# Writes variants of a site file, from any folder: builds what has changed, then runs the generator with the given arguments.
here=$(cd "$(dirname "$0")/.." && pwd) || exit 1
(cd "$here" && mvn -q -pl variants -DskipTests package) || exit 1
exec java -cp "$here/variants/target/classes:$here/variants/target/lib/*" tamarindroute.variants.GenerateCommand "$@"
