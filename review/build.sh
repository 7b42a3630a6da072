#!/bin/sh
# Builds the stand-ins of the review, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/review-case
