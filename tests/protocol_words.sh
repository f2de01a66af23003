#!/usr/bin/env bash
# protocol_words.sh ROOT: checks that the protocol's own terms appear only in the wire module.
set -euo pipefail
cd "$1"
words='seal|tally|tenancy|plea|mood|hearth|breed|glade|windfall|household|kin|bids|mercyS|steward|charter|withdraw|chores?|mark|ring|warningS|guessS|markS|stowS|dueS|memGb|vcpus'
found=$(grep -nwE "$words" src/*/*.[ch] include/brambledoor/*.h cli/*.c | grep -vE '^(src/wire/wire[a-z_]*\.[ch]|include/brambledoor/wire\.h):' || true)
if [ -n "$found" ]; then
  echo "protocol words outside the wire module:"
  echo "$found"
  exit 1
fi
