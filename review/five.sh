#!/usr/bin/env bash
# Runs a case's script five times with the disruption and once without, and prints the exit codes.
set -uo pipefail
cd "$(dirname "$0")/$1" || exit 2
for _ in 1 2 3 4 5; do
  ./run.sh
  echo "run: $?, $(grep -E '  (served|result|total)' record.txt | sed 's/^ *[0-9.]* *//' | tr '\n' ';')"
done
TROUBLE=0 ./run.sh
echo "TROUBLE=0: $?, $(grep -E '  (served|result|total)' record.txt | sed 's/^ *[0-9.]* *//' | tr '\n' ';')"
