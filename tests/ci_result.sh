#!/usr/bin/env bash
# ci_result.sh RESULT: tests .ci/result, which ignores only the failed tests on the list of known
# failures, and refuses a list of more than three.
set -u
result=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
# expect 0|1 STATUS FAILED KNOWN TEXT: the expected exit status, the arguments, the text to print
expect() {
  printf '%b' "$3" >"$dir/failed"
  printf '%b' "$4" >"$dir/known"
  output=$("$result" "$2" "$dir/failed" "$dir/known")
  exit_status=$?
  if [ "$exit_status" -ne "$1" ] || ! grep -qF -- "$5" <<<"$output"; then
    echo "FAIL: status $2, failed '$3', known '$4': exit status $exit_status, $output"
    failed=1
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
exit $failed
