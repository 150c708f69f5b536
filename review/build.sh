#!/bin/bash
# Builds the stand-ins that the cases start; needs the JDK alone. Run it after the build of the deploy file.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/target/classes"
javac -d "$here/target/classes" "$here"/src/*.java
