#!/bin/sh
# run-case.sh NAME FOLDER: plays a case and writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 the disruption is left out. Build with the deploy file's command and review/build-2.sh first.
name=$1
folder=$(cd "$2" && pwd) || exit 2
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
program="$root/target/review-2/release/review-stand-ins-2"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/quota-gateway" ]; then
    echo "build the gateway and run review/build-2.sh first" >&2
    exit 2
fi
# All that a run writes besides the record; the numbers of its processes are in `pids`.
own=$(mktemp -d) || exit 2
: > "$own/pids"
# Ends what is left if the stand-ins were ended from outside; they end their gateways themselves otherwise.
stop() {
    kill -KILL "$player" $(cat "$own/pids") 2>/dev/null
    wait
    rm -rf "$own"
    exit 2
}
trap stop INT TERM HUP
TMPDIR=$own REVIEW_ROOT=$root REVIEW_PIDS=$own/pids "$program" "$name" "$folder" &
player=$!
wait "$player"
status=$?
[ "$status" -le 2 ] || stop
rm -rf "$own"
exit "$status"
