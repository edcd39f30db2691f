#!/usr/bin/env bash
# Runs the formatter and the linter on all C++ sources that git does not ignore, except generated
# code. With --fix, the formatter rewrites the files first.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' |
  grep -v '\.capnp\.')
if [ "${1:-}" = "--fix" ]; then
  clang-format -i "${files[@]}"
fi
clang-format --dry-run --Werror "${files[@]}"
echo "formatter: ${#files[@]} files clean"

mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$')
log=build/clang-tidy.log
if ! printf '%s\n' "${sources[@]}" |
  xargs -P "${QH_JOBS:-$(nproc)}" -n 2 clang-tidy --quiet -p build >"$log" 2>/dev/null; then
  grep -E 'error:|warning:' "$log" | sort -u
  echo "linter: failed"
  exit 1
fi
echo "linter: ${#sources[@]} sources clean"
