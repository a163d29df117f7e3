#!/usr/bin/env bash
# Builds the programs of the cases, which contain all stand-ins, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]* review/search; do
  go build -tags review -o "target/$folder" "./$folder"
done
