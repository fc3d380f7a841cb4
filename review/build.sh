#!/bin/sh
# Builds what the scripts start: they are Python programs, so this compiles them only.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q lynxchute review
