#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exit status: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=build/review/case-$(basename "$here")
if [ ! -x "$program" ] || [ ! -x build/cressrill-router ]; then
  echo "not run: the deploy file's build and review/build-2.sh come first"
  exit 2
fi
folder=$(mktemp -d) || exit 2
# The program ends its router whenever it ends itself.
TMPDIR=$folder RECORD=$here/record.txt timeout -k 2 115 "$program" &
child=$!
trap 'kill "$child" 2>/dev/null' INT TERM
wait "$child"
status=$?
wait "$child" 2>/dev/null
rm -rf "$folder"
[ "$status" -le 2 ] || status=2
exit "$status"
