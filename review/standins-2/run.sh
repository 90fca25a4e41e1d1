# Common part of the scripts: runs the program of a case, and ends all that it started.
set -u
CASE=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP CASE_RECORD="review/$CASE/record.txt"
PROGRAM=target/review-2/case_$CASE
[ -x "$PROGRAM" ] && [ -x target/release/guavausher-front ] || { echo "not built"; exit 2; }
finish() {
  [ -n "${PID:-}" ] && kill "$PID" 2>/dev/null
  # Processes of the system that are left if the program itself has failed.
  grep -o 'pid [0-9]*$' "$CASE_RECORD" 2>/dev/null | while read -r _ pid; do
    grep -qs guavausher-front "/proc/$pid/cmdline" && kill -9 "$pid" 2>/dev/null
  done
  if [ -n "${KEEP:-}" ]; then echo "kept $CASE_TMP"; else rm -rf "$CASE_TMP"; fi
}
trap finish EXIT
timeout 118 "$PROGRAM" &
PID=$!
wait "$PID"
status=$?
PID=
[ "$status" -le 1 ] || status=2
exit "$status"
