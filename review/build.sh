#!/bin/sh
# Builds the stand-ins of the scripts in this folder. They are Python programs
# of the standard library alone (python3 comes with meson, which the deploy
# file lists), so there is nothing to compile; this checks that they can run.
cd "$(dirname "$0")" || exit 1
export PYTHONDONTWRITEBYTECODE=1
for file in lib/*.py [1-5]/*.py; do
	python3 -c 'import ast, sys, tomllib; ast.parse(open(sys.argv[1]).read())' \
		"$file" || exit 1
done
