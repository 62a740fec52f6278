#!/usr/bin/env bash
# The stand-ins are modules without dependencies that run as they are, so only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for module in review/standins/*.mjs review/*/case.mjs; do node --check "$module"; done
