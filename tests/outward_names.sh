#!/usr/bin/env bash
# outward_names.sh ROOT LIST: every name and text that leaves the process is still in the sources.
#
# LIST has one string literal a line, as the sources spell it: names of the protocols, store keys and
# records, settings, flags, metrics, evidence lines, replies to users. Literals that the sources
# split are joined. A renaming of identifiers must leave all of them as they are.
set -euo pipefail
cd "$1"
list=$2
literals=$(mktemp)
trap 'rm -f "$literals"' EXIT
perl -0777 -ne '
  s{/\*.*?\*/}{ }gs;
  s{^\s*#include.*$}{}gm;
  my $one = qr/"(?:\\.|[^"\\])*"/;
  while (/($one(?:\s*$one)*)/g) {
    my $text = $1;
    my $joined = "";
    $joined .= $1 while $text =~ /"((?:\\.|[^"\\])*)"/g;
    print "$joined\n";
  }' src/*/*.[ch] cli/*.[ch] include/brambledoor/*.h | sort -u >"$literals"
missing=$(grep -vxFf "$literals" "$list" || true)
if [ -n "$missing" ]; then
  echo "names that leave the process and are not in the sources any more:"
  echo "$missing"
  exit 1
fi
echo "$(wc -l <"$list") names that leave the process are in the sources"
