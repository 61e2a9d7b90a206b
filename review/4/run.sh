#!/bin/bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
pids=$(mktemp)
end() { while read -r pid; do grep -qs dandeliontrack "/proc/$pid/cmdline" && kill -KILL "$pid" 2>/dev/null; done <"$pids"; rm -f "$pids"; }
trap end EXIT
"$root/target/review/rig" -case hostname -root "$root" -record "$here/record.txt" -pids "$pids" &
rig=$!
trap 'kill -TERM "$rig" 2>/dev/null' TERM INT
wait "$rig"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
