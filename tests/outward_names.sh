#!/usr/bin/env bash
# outward_names.sh ROOT LIST: checks that the sources still have every external name and text.
#
# LIST has one string literal per line, spelled as in the sources: names of the protocols, store keys
# and records, settings, flags, metrics, evidence lines, replies to users. Adjacent literals in the
# sources are joined. Renaming identifiers must not change any of them.
set -euo pipefail
cd "$1"
list=$2
literals=$(mktemp)
trap 'rm -f "$literals"' EXIT
perl -0777 -ne '
  s{/\*.*?\*/}{ }gs;
  s{^\s*#include.*$}{}gm;
  my $literal = qr/"(?:\\.|[^"\\])*"/;
  while (/($literal(?:\s*$literal)*)/g) {
    my $text = $1;
    my $joined = "";
    $joined .= $1 while $text =~ /"((?:\\.|[^"\\])*)"/g;
    print "$joined\n";
  }' src/*/*.[ch] cli/*.[ch] include/brambledoor/*.h | sort -u >"$literals"
missing=$(grep -vxFf "$literals" "$list" || true)
if [ -n "$missing" ]; then
  echo "external names that are missing from the sources:"
  echo "$missing"
  exit 1
fi
echo "$(wc -l <"$list") external names are in the sources"
