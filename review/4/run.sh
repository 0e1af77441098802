#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
root=$(cd "$(dirname "$0")/../.." && pwd)
exec java -Xmx256m -cp "$root/target/review:$root/target/edge/*" review.StoppedHosts "$root" "$root/review/4"
