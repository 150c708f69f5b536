#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which need nothing but Java; the project's programs come from the build of
# the deploy file. Run from anywhere.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all,-serial,-try -d target/review-2 review/kit-2/*.java
