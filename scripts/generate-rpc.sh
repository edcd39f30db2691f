#!/usr/bin/env bash
# Regenerates the committed C++ code from the Cap'n Proto schemas, for use after a schema change.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile -oc++:libs/rpc/generated --src-prefix=libs/rpc/schema libs/rpc/schema/*.capnp
