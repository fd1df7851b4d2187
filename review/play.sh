#!/usr/bin/env bash
# Plays a case: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
top=$(cd "$(dirname "$0")/.." && pwd)
record=$(cd "$2" && pwd)/record.txt
cd "$top" || exit 2
[ -x review/bin/standin ] && [ -x target/kingcup-host ] || { echo "build first: the deploy file's build, and review/build.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
review/bin/standin -folder "$folder" -program target/kingcup-host -record "$record" "$1" &
pid=$!
trap 'kill -TERM $pid 2>/dev/null; rm -rf "$folder"' INT TERM
wait $pid
code=$?
tail -n 3 "$record"
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
