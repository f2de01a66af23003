#!/usr/bin/env bash
# The result on a run of the tests: only listed tests are passed over, and never more than three.
set -u
result=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
faults=0
# expect 0|1 STATUS FAILED KNOWN TEXT: the result, and what it must print
expect() {
  printf '%b' "$3" >"$dir/failed"
  printf '%b' "$4" >"$dir/known"
  out=$("$result" "$2" "$dir/failed" "$dir/known")
  got=$?
  if [ "$got" -ne "$1" ] || ! grep -qF -- "$5" <<<"$out"; then
    echo "FAIL: status $2, failed '$3', known '$4': $got, $out"
    faults=1
  fi
}
expect 0 0 '' '' ''
expect 1 8 '3:graphs\n' '' 'failed: graphs'
expect 1 8 '' '' 'none is named'
expect 0 8 '3:graphs\n' 'graphs, slow sums, 17\n' 'known red: graphs, slow sums, 17'
expect 1 8 '3:graphs\n4:roll\n' 'graphs, slow sums, 17\n' 'failed: roll'
expect 1 8 '3:graphs-two\n' 'graphs, slow sums, 17\n' 'failed: graphs-two'
expect 0 0 '' 'graphs, slow sums, 17\n' 'graphs passes'
expect 1 8 '3:graphs\n' 'graphs\n' "not 'test, cause, issue'"
expect 1 8 '1:a\n2:b\n3:c\n4:d\n' 'a, x, 1\nb, x, 1\nc, x, 1\nd, x, 1\n' 'three at most'
expect 0 0 '' '# a remark\n\n' ''
exit $faults
