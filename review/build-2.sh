#!/bin/sh
# Builds the stand-ins of the cases, with the compiler alone. Run in the repository's root.
set -e
mkdir -p target/review-2
for source in review/kit-2/large_bodies.rs review/kit-2/same_id.rs; do
    rustc --edition 2024 -O -o "target/review-2/$(basename "$source" .rs)" "$source"
done
