#!/bin/sh
# Builds the stand-ins and the scripts' programs into target/review; run the deploy file's build first.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:-options --release 17 -d target/review -cp 'target/edge/*' review/lib/*.java $(ls review/[1-5]/*.java)
