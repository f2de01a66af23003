#!/usr/bin/env bash
# compare_behaviour.sh BASE [DAYS]: whether the working tree behaves exactly as the commit BASE.
#
# Builds both, plays the same DAYS drawn days of each kind (20 by default), every file of
# tests/simulation/ and every scenario that both have, and compares the digests of their steps.
# Exits with 1 at the first difference, after printing the first step that differs.
# BD_FROM names the first seed (1), BD_JOBS the programs that run at once (8).
set -euo pipefail
cd "$(dirname "$0")/.."
base=$(git rev-parse --verify "$1^{commit}")
days=${2:-20}
from=${BD_FROM:-1}
jobs=${BD_JOBS:-8}
work=target/compare
built=$work/$base
mkdir -p "$work"

build() { # SOURCES OUTPUT
  cmake -S "$1" -B "$2" -DCMAKE_BUILD_TYPE=Release >/dev/null
  cmake --build "$2" -j"$jobs" --target simulation scenario >/dev/null
}

if [ ! -x "$built/target/tests/simulation" ]; then
  rm -rf "$built"
  mkdir -p "$built"
  git archive "$base" | tar -x -C "$built" --exclude=journal
  build "$built" "$built/target"
fi
build . "$work/tree"

plays=$work/plays
: >"$plays"
chunk=10
for kind in random delays drains; do
  for ((seed = from; seed < from + days; seed += chunk)); do
    left=$((from + days - seed))
    echo "simulation digest $kind $seed $((left < chunk ? left : chunk))" >>"$plays"
  done
done
for file in tests/simulation/*.txt; do
  if [ -f "$built/$file" ]; then echo "simulation digest $file 1 4" >>"$plays"; fi
done
for file in tests/scenarios/*.txt; do
  if [ -f "$built/$file" ]; then echo "scenario $file digest" >>"$plays"; fi
done

# A file of scenarios may use other words in the two trees, so each plays its own.
play() { # TREE PROGRAMS PLAY
  read -ra words <<<"$3"
  (cd "$1" && "$2/tests/${words[0]}" "${words[@]:1}" 2>&1 || true)
}
compare_one() { # PLAY
  local old new name
  old=$(play "$BD_BASE_TREE" "$BD_BASE_TREE/target" "$1" | grep '^digest' || true)
  new=$(play "$BD_TREE" "$BD_TREE/$BD_WORK/tree" "$1" | grep '^digest' || true)
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
export -f play compare_one
export BD_TREE=$PWD BD_BASE_TREE=$PWD/$built BD_WORK=$work
rm -rf "$work/differs"
mkdir -p "$work/differs"
status=0
tr '\n' '\0' <"$plays" | xargs -0 -P "$jobs" -I{} bash -c 'compare_one "$1"' _ {} || status=1
if [ "$status" -eq 0 ]; then
  echo "equal to $base: $days days of each kind from seed $from, $(grep -c txt "$plays") files"
  exit 0
fi

first_difference() { # PLAY
  read -ra words <<<"$1"
  local steps=("$1")
  if [ "${words[0]}" = scenario ]; then
    steps=("scenario ${words[1]} steps")
  else
    local seed
    steps=()
    for ((seed = words[3]; seed < words[3] + words[4]; seed++)); do
      steps+=("simulation steps ${words[2]} $seed")
    done
  fi
  for one in "${steps[@]}"; do
    play "$BD_BASE_TREE" "$BD_BASE_TREE/target" "$one" >"$work/old.txt"
    play "$PWD" "$PWD/$work/tree" "$one" >"$work/new.txt"
    if ! cmp -s "$work/old.txt" "$work/new.txt"; then
      echo "first difference of: $one"
      diff "$work/old.txt" "$work/new.txt" | head -4 | cut -c1-600 || true
      return
    fi
  done
}
first=$(find "$work/differs" -type f | sort | head -1)
[ -z "$first" ] || first_difference "$(sed 's/^differs: //' "$first")"
exit 1
