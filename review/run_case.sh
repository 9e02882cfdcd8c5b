#!/usr/bin/env bash
# Runs case $1 for its run.sh, and ends all daemons that it has started, however it ends itself.
cd "$here/../.." || exit 2
program="target/review/case$1"
[ -x target/wingvaled ] && [ -x "$program" ] || { echo "build first" >&2; exit 2; }
pids="$(mktemp)" || exit 2
child=""

end_daemons() {
  local pid
  while read -r pid; do
    case "$(readlink "/proc/$pid/exe")" in
      */target/wingvaled*) kill -KILL "$pid" ;;
    esac
  done <"$pids" 2>/dev/null
  rm -f "$pids"
}

stop() {
  [ -z "$child" ] || kill -KILL "$child" 2>/dev/null
  exit 2
}

trap end_daemons EXIT
trap stop TERM INT HUP
REVIEW_PIDS="$pids" "$program" -binary target/wingvaled -record "$here/record.txt" &
child=$!
wait "$child"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
