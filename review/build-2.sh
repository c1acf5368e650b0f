#!/bin/sh
# Builds what the scripts of the second review start besides the system: Python files of their own.
cd "$(dirname "$0")" && python3 -m py_compile lab-2/lab.py [4-8]/case.py && rm -rf lab-2/__pycache__ [4-8]/__pycache__
