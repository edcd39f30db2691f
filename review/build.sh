#!/bin/sh
# Builds the stand-ins of the scripts into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review/qh-review review/standin/*.cpp
