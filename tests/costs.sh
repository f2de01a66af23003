#!/usr/bin/env bash
# costs.sh PROFILE LIMITS: checks the instructions per iteration of each kind of work in the pure
# core, counted by callgrind, against upper bounds. LIMITS has lines `KIND MACHINES INSTRUCTIONS`.
# Set a new bound 10 to 20 percent above the count. With the same compiler and libraries, every run
# counts the same.
set -euo pipefail
profile=$1 limits=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
for machines in $(awk '!/^#/ && NF {print $2}' "$limits" | sort -un); do
  valgrind --tool=callgrind --instr-atstart=no --collect-atstart=no --callgrind-out-file="$dir/$machines" \
    "$profile" costs "$machines" >"$dir/kinds" 2>"$dir/log" || { cat "$dir/log"; exit 1; }
  while read -r kind iterations; do
    file=$(grep -l "^desc: Trigger: Client Request: $kind\$" "$dir/$machines".* | head -n 1)
    total=$(awk '/^totals:|^summary:/ {print $2; exit}' "$file")
    instructions=$((total / iterations))
    limit=$(awk -v k="$kind" -v m="$machines" '$1 == k && $2 == m {print $3}' "$limits")
    if [ -z "$limit" ] || [ "$instructions" -gt "$limit" ] || [ "$instructions" -eq 0 ]; then
      echo "FAIL $kind at $machines machines: $instructions instructions, at most ${limit:-none given}"
      failed=1
    else
      echo "ok   $kind at $machines machines: $instructions instructions, at most $limit"
    fi
  done <"$dir/kinds"
done
exit $failed
