#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
program=review/stand-ins/target/release/review-stand-ins
[ -x "$program" ] && [ -x target/release/dottereltally-gateway ] || exit 2
folder="$(mktemp -d)" || exit 2
end() {
  # The processes end with the program; this is for a program that was killed.
  while read -r pid; do
    case "$(ps -o comm= -p "$pid" 2>/dev/null)" in dottereltally*) kill -9 "$pid" ;; esac
  done 2>/dev/null < "$folder/pids"
  rm -rf "$folder"
}
trap end EXIT
timeout -k 2 110 "$program" added "$here/record.txt" "$folder"
code=$?
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
