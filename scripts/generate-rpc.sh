#!/usr/bin/env bash
# Generates the committed C++ code of the Cap'n Proto schema. Needed only after a change of schema.
set -euo pipefail
cd "$(dirname "$0")/.."
capnp compile -oc++:libs/rpc/generated --src-prefix=libs/rpc/schema libs/rpc/schema/*.capnp
