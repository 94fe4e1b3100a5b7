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
pids=$(mktemp) || exit 2
# Ends what is left if the stand-ins were ended from outside; they end their gateways themselves otherwise.
stop() {
    kill -KILL "$player" $(cat "$pids") 2>/dev/null
    rm -f "$pids"
    exit 2
}
trap stop INT TERM HUP
REVIEW_ROOT=$root REVIEW_PIDS=$pids "$program" "$name" "$folder" &
player=$!
wait "$player"
status=$?
[ "$status" -le 2 ] || stop
rm -f "$pids"
exit "$status"
