#!/bin/sh
# Plays the case. TROUBLE=0 plays it without the disruption; KEEP=1 keeps the logs.
here=$(cd "$(dirname "$0")" && pwd)
target=$here/../../target
[ -x "$target/review-standins" ] && [ -x "$target/baobabdyke" ] || exit 2
exec "$target/review-standins" removal "$target/baobabdyke" "$here"
