#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. It needs the product built
# as the deploy file does.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand2 ./review/stand2
