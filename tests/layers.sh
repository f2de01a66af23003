#!/usr/bin/env bash
# layers.sh ROOT: the folders of src/ include only folders below them, and a function stands in a
# header of its own folder.
set -euo pipefail
cd "$1"
order=(base wire model jobs leadership workers scheduling autoscaling drain core adapters runtime)

# Includes that run upwards for now, each with its reason. This list may only shrink.
allowed=$(sed -e 's/ *#.*//' -e '/^$/d' <<'LIST' | sort
src/model/task_state.c workers/commands.h      # a stop is sent at once; deferred it would come later
src/leadership/leadership.c drain/drain.h      # a lost term ends the drains' view in the same step
src/leadership/commit.c drain/drain.h          # the leader's transaction carries the drains' records
src/leadership/commit.c workers/workers.h      # ... and names the delegates that are not needed
src/leadership/commit_outcome.c workers/commands.h # a committed launch is sent at once
src/autoscaling/autoscaler.c drain/drain.h     # demand and keeping of drained machines
src/autoscaling/consolidation.c drain/drain.h  # moves ask the budgets first
LIST
)

level() { # FOLDER
  for i in "${!order[@]}"; do
    if [ "${order[$i]}" = "$1" ]; then
      echo "$i"
      return
    fi
  done
  echo "layers.sh: src/$1 has no place in the order" >&2
  exit 1
}
for folder in src/*/; do level "$(basename "$folder")" >/dev/null; done

upward=""
while IFS=: read -r file include; do
  from=$(cut -d/ -f2 <<<"$file")
  to=${include%%/*}
  [ -d "src/$to" ] || continue
  if [ "$(level "$to")" -gt "$(level "$from")" ]; then upward+="$file $include"$'\n'; fi
done < <(grep -oE '#include "[^"]+"' src/*/*.[ch] | sed -E 's/:#include "([^"]+)"/:\1/')
upward=$(sed '/^$/d' <<<"$upward" | sort -u)

bad=0
new=$(comm -23 <(echo "$upward") <(echo "$allowed"))
gone=$(comm -13 <(echo "$upward") <(echo "$allowed"))
if [ -n "$new" ]; then
  printf 'includes that run upwards:\n%s\n' "$new"
  bad=1
fi
if [ -n "$gone" ]; then
  printf 'not needed any more, take them off the list:\n%s\n' "$gone"
  bad=1
fi

# A function with external linkage is declared in a header of the folder that defines it.
for folder in src/*/; do
  for name in $(grep -hoE '^[a-z][A-Za-z0-9_ *]*\bbd_[a-z0-9_]+\(' "$folder"*.c | grep -v '^static ' |
    grep -oE 'bd_[a-z0-9_]+\($' | tr -d '(' | sort -u); do
    if ! grep -qE "\b$name\(" "$folder"*.h include/brambledoor/*.h; then
      echo "$name: defined in $folder, declared elsewhere"
      bad=1
    fi
  done
done
exit $bad
