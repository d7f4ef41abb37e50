#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/target/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
for source in stand_ins/*.cc; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/$(basename "$source" .cc)" "$source"
done
