#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. They and the project's own that they use (tests/soak) are
# scripts in Python's standard library, so this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "review/standin-3"); import case_rig'
