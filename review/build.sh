#!/usr/bin/env bash
# Builds the stand-ins and the cases that the scripts start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -d target/review review/standins/*.java
