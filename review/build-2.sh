#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python: this compiles them
# and the project's own programs that the cases start, and exits with 1 where one can't be loaded.
cd "$(dirname "$0")/.." || exit 1
python=.venv/bin/python
$python -m compileall -q finchcart review/stand_ins_2.py review/[6-9] || exit 1
PYTHONPATH=review $python -c "import stand_ins_2, finchcart.node_process, finchcart.cli.commands"
