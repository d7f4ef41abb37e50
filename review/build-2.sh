#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2/. Needs g++ and
# nlohmann-json3-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/$name" "$source"
done
