#!/bin/bash
# Builds what the scripts start, beside the build of the deploy file: their stand-ins are Python 3 with its standard library.
cd "$(dirname "$0")" && python3 -m py_compile standin/world.py ./*/case.py
