#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
test -x "$root/review/bin/survivor" -a -x "$root/target/godwitmoord" || exit 2
ROOT=$root CASE=$here exec "$root/review/bin/survivor"
