#!/usr/bin/env bash
# play-2.sh CASE FOLDER: plays a case of cases 6 to 10 and writes its record to the folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -um
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
ulimit -Sn 16384 2>/dev/null || ulimit -Sn "$(ulimit -Hn)"
# The processes of the system are in the process group of the player.
target/review-2/release/review-stand-ins-2 "$1" "$folder" &
player=$!
(sleep 115; kill -KILL -- "-$player") >/dev/null 2>&1 &
timer=$!
end_all() {
  { kill -KILL -- "-$timer" "-$player"; wait "$timer" "$player"; } 2>/dev/null
}
trap 'end_all; exit 2' INT TERM
wait "$player"
result=$?
end_all
[ "$result" -le 1 ] && exit "$result"
exit 2
