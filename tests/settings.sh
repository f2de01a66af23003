#!/usr/bin/env bash
# settings.sh PROGRAM SETTINGS DRAINING: checks that --check and the start of the program refuse
# invalid settings alike: with exit status 2 and one line that names the file and the field.
set -euo pipefail
program=$1 good=$2 deploy=$3
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
"$program" --check --config "$good" || { echo "FAIL valid settings are refused"; failed=1; }
# expect_refused FIELD FILE WHAT ARGUMENTS...: runs the program with and without --check
expect_refused() {
  local field=$1 file=$2 what=$3 check status
  shift 3
  for check in --check ""; do
    status=0
    # shellcheck disable=SC2086
    timeout 10 "$program" $check "$@" 2>"$dir/error" || status=$?
    if [ "$status" -ne 2 ] || [ "$(wc -l <"$dir/error")" -ne 1 ] ||
      ! grep -qF "$file: $field:" "$dir/error"; then
      echo "FAIL $what $check: status $status, $(cat "$dir/error")"
      failed=1
    fi
  done
}
while IFS='|' read -r field from to; do
  file=$dir/$field.json
  sed "s/$from/$to/" "$good" >"$file"
  cmp -s "$file" "$good" && { echo "FAIL $field was not replaced"; failed=1; }
  expect_refused "$field" "$file" "$field" --config "$file"
done <<'LIST'
cpu|"cpu": 0.16|"cpu": 0.001
cpu|"cpu": 0.16|"cpu": -1
ram_mb|"ram_mb": 72.0|"ram_mb": 7
ram_mb|"ram_mb": 72.0|"ram_mb": "72"
max_sockets|"max_sockets": 1000|"max_sockets": 100
max_sockets|"max_sockets": 1000|"sockets": 1000
cancel_s|"cancel_s": 35.0|"cancel_s": 10.0
LIST
# the draining entry of the operators' file
while IFS='|' read -r field text; do
  file=$dir/draining.sexp
  printf '%s\n' "$text" >"$file"
  expect_refused "$field" "$file" "$text" --operators "$file" --config "$good"
done <<'LIST'
machines-in-step|(draining (machines-in-step 0))
machines-in-step|(draining (machines-in-step many))
stop-s|(draining (stop-s -1))
replace-s|(draining (replace-s))
planner|(draining (planner best))
explode|(draining (explode 1))
nobody|(draining (team nobody (down 1)))
down|(draining (teams (down 101%)))
down|(draining (teams (down -1)))
down|(draining (teams (down 1.5)))
down|(draining (teams (down few)))
class|(draining (team blue (class katalog)))
colour|(draining (team blue (colour red)))
blue|(draining (team blue (down 1)) (team blue (down 2)))
not-together|(draining (not-together a nowhere))
selection|(draining (selection))
draining|(draining machines)
draining|(draining) (draining)
LIST
"$program" --check --operators "$deploy" --config "$good" || { echo "FAIL $deploy is refused"; failed=1; }
exit $failed
