#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -uo pipefail
cd "$(dirname "$0")"
here=$PWD
root=$(cd ../.. && pwd)
number=$(basename "$here")
program=$root/build/review/case$number
run=$(sed -n 's/^run = "\(.*\)".*$/\1/p' "$root/deploy/balancer.toml")
[ -x "$program" ] && [ -n "$run" ] || exit 2
folder=$(mktemp -d) || exit 2
setsid timeout -k 2 110 "$program" "$root" "$folder" "$run" "$here/record.txt" &
test_process=$!
trap 'kill "$test_process" 2>/dev/null' INT TERM
wait "$test_process"
status=$?
rm -rf "$folder"
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
