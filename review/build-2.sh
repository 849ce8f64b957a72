#!/bin/bash
# Builds the stand-ins of the cases 4 to 8. They are plain modules of Node.js without dependencies, so
# that this only checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand-in-2/*.mjs [4-8]/*.mjs; do
  node --check "$module"
done
