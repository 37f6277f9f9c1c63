#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.."
program=target/review-2/first_version
[ -x "$program" ] && [ -x target/release/mangospindle-platform-control ] || exit 2
WORK=$(mktemp -d) || exit 2
export WORK RECORD=$case_dir/record.txt
trap 'rm -rf "$WORK"' EXIT
"$program"
