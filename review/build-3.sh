#!/bin/sh
# Builds the tools of the third review's scripts. Run in the root of the repository, after the build of
# the deploy file. Needs the Rust compiler and nothing else.
set -eu
mkdir -p target/review-3
for tool in review/tools-3/*.rs; do
    name=$(basename "$tool" .rs)
    if [ "$name" != lab ]; then
        rustc --edition 2024 -O -o "target/review-3/$name" "$tool"
    fi
done
