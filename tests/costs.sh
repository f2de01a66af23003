#!/usr/bin/env bash
# costs.sh PROFILE LIMITS: instructions that each kind of work costs the pure core, counted by
# callgrind, against upper counts. LIMITS has lines `KIND MACHINES INSTRUCTIONS`, each a tenth to a
# fifth above what was measured; the same compiler and libraries count the same on every run.
set -euo pipefail
profile=$1 limits=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
bad=0
for machines in $(awk '!/^#/ && NF {print $2}' "$limits" | sort -un); do
  valgrind --tool=callgrind --instr-atstart=no --collect-atstart=no --callgrind-out-file="$dir/$machines" \
    "$profile" costs "$machines" >"$dir/times" 2>"$dir/log" || { cat "$dir/log"; exit 1; }
  while read -r kind times; do
    file=$(grep -l "^desc: Trigger: Client Request: $kind\$" "$dir/$machines".* | head -n 1)
    sum=$(awk '/^totals:|^summary:/ {print $2; exit}' "$file")
    each=$((sum / times))
    most=$(awk -v k="$kind" -v m="$machines" '$1 == k && $2 == m {print $3}' "$limits")
    if [ -z "$most" ] || [ "$each" -gt "$most" ] || [ "$each" -eq 0 ]; then
      echo "FAIL $kind at $machines machines: $each instructions, at most ${most:-none given}"
      bad=1
    else
      echo "ok   $kind at $machines machines: $each instructions, at most $most"
    fi
  done <"$dir/times"
done
exit $bad
