#!/usr/bin/env bash
number=15
. "$(dirname "$0")/../lib-3/run.inc"
