#!/bin/sh
# The stand-ins of the cases 11 to 15 are in standins-3/deployment.py, which
# needs no build: only python3 and its standard library, which the package
# meson of deploy/system.toml brings. This script checks that they load.
set -e
cd "$(dirname "$0")/standins-3"
python3 -B -c 'import deployment'
