#!/bin/sh
# Builds the stand-ins and the clients of cases 6 to 10 into target/review-2. Needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f target/edge/pollenspar-platform-0.1.0.jar ]; then
  echo "review/build-2.sh: target/edge is missing; run deploy/build first" >&2
  exit 2
fi
rm -rf target/review-2
mkdir -p target/review-2
sources=$(ls review/lib-2/*.java review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java 2>/dev/null || true)
# shellcheck disable=SC2086
javac -nowarn -d target/review-2 -cp "target/edge/*" $sources
