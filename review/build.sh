#!/bin/bash
# Build the stand-ins of the review's cases: all are Python modules, of review/ or of the project, and need no
# package beside those of the deploy file's build. Compiles them, so that a mistake shows here.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q finchcart/simulated_peers finchcart/thrift review
