#!/usr/bin/env bash
# layers.sh ROOT: checks that each folder of src/ includes only headers of lower layers, that
# each public function is declared in a header of the folder that defines it, and that one module
# parses JSON.
set -euo pipefail
cd "$1"
# from the lowest layer to the highest
layers=(base wire model jobs leadership workers scheduling autoscaling drain core adapters runtime)

# Exceptions, each with its reason: includes of a higher layer. Entries may only be removed.
allowed=$(sed -e 's/ *#.*//' -e '/^$/d' <<'LIST' | sort
src/model/task_state.c workers/commands.h      # a stop is sent at once; deferring it would delay it
src/leadership/leadership.c drain/drain.h      # a lost term clears the state of the drains in the same step
src/leadership/commit.c drain/drain.h          # the leader's transaction carries the drains' records
src/leadership/commit.c workers/workers.h      # the leader's transaction names the delegates that are not needed
src/leadership/commit_outcome.c workers/commands.h # a committed launch is sent at once
src/autoscaling/autoscaler.c drain/drain.h     # demand of the drained tasks, and machines kept for a drain
src/autoscaling/consolidation.c drain/drain.h  # moves of tasks need room in the disruption budgets
LIST
)

layer_number() { # FOLDER
  for i in "${!layers[@]}"; do
    if [ "${layers[$i]}" = "$1" ]; then
      echo "$i"
      return
    fi
  done
  echo "layers.sh: src/$1 is not in the list of layers" >&2
  exit 1
}
for folder in src/*/; do layer_number "$(basename "$folder")" >/dev/null; done

upward=""
while IFS=: read -r file include; do
  from=$(cut -d/ -f2 <<<"$file")
  to=${include%%/*}
  [ -d "src/$to" ] || continue
  if [ "$(layer_number "$to")" -gt "$(layer_number "$from")" ]; then upward+="$file $include"$'\n'; fi
done < <(grep -oE '#include "[^"]+"' src/*/*.[ch] | sed -E 's/:#include "([^"]+)"/:\1/')
upward=$(sed '/^$/d' <<<"$upward" | sort -u)

failed=0
unlisted=$(comm -23 <(echo "$upward") <(echo "$allowed"))
obsolete=$(comm -13 <(echo "$upward") <(echo "$allowed"))
if [ -n "$unlisted" ]; then
  printf 'includes of a higher layer:\n%s\n' "$unlisted"
  failed=1
fi
if [ -n "$obsolete" ]; then
  printf 'obsolete exceptions, remove them from the list:\n%s\n' "$obsolete"
  failed=1
fi

# A function with external linkage is declared in a header of the folder that defines it.
for folder in src/*/; do
  for name in $(grep -hoE '^[a-z][A-Za-z0-9_ *]*\bbd_[a-z0-9_]+\(' "$folder"*.c | grep -v '^static ' |
    grep -oE 'bd_[a-z0-9_]+\($' | tr -d '(' | sort -u); do
    if ! grep -qE "\b$name\(" "$folder"*.h include/brambledoor/*.h; then
      echo "$name: defined in $folder, but not declared in a header there"
      failed=1
    fi
  done
done

# jansson's parser has limits of its own; the settings file is the operators' and needs line numbers
parsers=$(grep -lE '\bjson_load(s|b|f|fd|_file|_callback)?\(' src/*/*.c cli/*.c | grep -vxF -e src/base/json_reader.c -e src/runtime/settings.c || true)
if [ -n "$parsers" ]; then
  echo "use bd_json_read: $parsers"
  failed=1
fi
exit $failed
