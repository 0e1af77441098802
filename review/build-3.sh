#!/usr/bin/env bash
# Compiles the stand-ins of review/11 to review/15 into target/review-3; needs deploy/build first.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp 'target/edge/*' \
  platform/src/test/java/org/pollenspar/platform/standin/FakeStore.java review/lib-3/*.java
