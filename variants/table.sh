#!/bin/sh
# Prints a table of the bench's reports in a folder, from any folder: builds what has changed, then reads them.
here=$(cd "$(dirname "$0")/.." && pwd) || exit 1
(cd "$here" && mvn -q -pl variants -DskipTests package) || exit 1
exec java -cp "$here/variants/target/classes:$here/variants/target/lib/*" tamarindroute.variants.TableCommand "$@"
