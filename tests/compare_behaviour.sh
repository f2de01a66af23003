#!/usr/bin/env bash
# compare_behaviour.sh BASE [DAYS]: checks that the working tree behaves exactly as the commit BASE.
#
# Builds both. Each tree runs the same DAYS random simulated days of each kind (20 by default), every
# file of tests/simulation/, and every scenario that both trees have. The digests of their steps are
# compared. If any differ, the script prints the first differing step of one run and exits with 1.
# BD_FROM is the first seed (1), BD_JOBS the number of programs that run at a time (8).
set -euo pipefail
cd "$(dirname "$0")/.."
base=$(git rev-parse --verify "$1^{commit}")
days=${2:-20}
from=${BD_FROM:-1}
jobs=${BD_JOBS:-8}
work=target/compare
base_tree=$work/$base
mkdir -p "$work"

build() { # SOURCES OUTPUT
  cmake -S "$1" -B "$2" -DCMAKE_BUILD_TYPE=Release >/dev/null
  cmake --build "$2" -j"$jobs" --target simulation scenario >/dev/null
}

if [ ! -x "$base_tree/target/tests/simulation" ]; then
  rm -rf "$base_tree"
  mkdir -p "$base_tree"
  git archive "$base" | tar -x -C "$base_tree" --exclude=journal
  build "$base_tree" "$base_tree/target"
fi
build . "$work/tree"

runs=$work/runs
: >"$runs"
days_per_run=10
for kind in random delays drains; do
  for ((seed = from; seed < from + days; seed += days_per_run)); do
    remaining=$((from + days - seed))
    echo "simulation digest $kind $seed $((remaining < days_per_run ? remaining : days_per_run))" >>"$runs"
  done
done
for file in tests/simulation/*.txt; do
  if [ -f "$base_tree/$file" ]; then echo "simulation digest $file 1 4" >>"$runs"; fi
done
for file in tests/scenarios/*.txt; do
  if [ -f "$base_tree/$file" ]; then echo "scenario $file digest" >>"$runs"; fi
done

# Each tree reads its own copy of the file, because the file's format may differ between them.
run_program() { # TREE PROGRAMS RUN
  read -ra words <<<"$3"
  (cd "$1" && "$2/tests/${words[0]}" "${words[@]:1}" 2>&1 || true)
}
compare_digests() { # RUN
  local old new name
  old=$(run_program "$BD_BASE_TREE" "$BD_BASE_TREE/target" "$1" | grep '^digest' || true)
  new=$(run_program "$BD_TREE" "$BD_TREE/$BD_WORK/tree" "$1" | grep '^digest' || true)
  name=$(tr ' /' '__' <<<"$1")
  if [ -z "$old" ]; then
    echo "no digest: $1"
    return 1
  fi
  if [ "$old" != "$new" ]; then
    echo "differs: $1" | tee "$BD_WORK/differs/$name"
    return 1
  fi
}
export -f run_program compare_digests
export BD_TREE=$PWD BD_BASE_TREE=$PWD/$base_tree BD_WORK=$work
rm -rf "$work/differs"
mkdir -p "$work/differs"
status=0
tr '\n' '\0' <"$runs" | xargs -0 -P "$jobs" -I{} bash -c 'compare_digests "$1"' _ {} || status=1
if [ "$status" -eq 0 ]; then
  echo "equal to $base: $days days of each kind from seed $from, $(grep -c txt "$runs") files"
  exit 0
fi

print_first_difference() { # RUN
  read -ra words <<<"$1"
  local step_runs=("$1")
  if [ "${words[0]}" = scenario ]; then
    step_runs=("scenario ${words[1]} steps")
  else
    local seed
    step_runs=()
    for ((seed = words[3]; seed < words[3] + words[4]; seed++)); do
      step_runs+=("simulation steps ${words[2]} $seed")
    done
  fi
  for run in "${step_runs[@]}"; do
    run_program "$BD_BASE_TREE" "$BD_BASE_TREE/target" "$run" >"$work/old.txt"
    run_program "$PWD" "$PWD/$work/tree" "$run" >"$work/new.txt"
    if ! cmp -s "$work/old.txt" "$work/new.txt"; then
      echo "first difference of: $run"
      diff "$work/old.txt" "$work/new.txt" | head -4 | cut -c1-600 || true
      return
    fi
  done
}
first=$(find "$work/differs" -type f | sort | head -1)
[ -z "$first" ] || print_first_difference "$(sed 's/^differs: //' "$first")"
exit 1
