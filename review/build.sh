#!/usr/bin/env bash
# Builds the project's stand-ins that the scripts start, after the build of the deploy file. The others are Python.
set -e
cd "$(dirname "$0")/.."
make BUILD=target -j8 target/bgstand-store target/bgstand-engine
