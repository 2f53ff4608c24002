#!/bin/sh
# run-case.sh N: runs case N once. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 runs it without the disruption.
set -u
number=$1
folder=$(cd "$(dirname "$0")/../$number" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=build/review-2/case$number
[ -x "$program" ] || { echo "$program is missing: run review/build-2.sh" >&2; exit 2; }
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$run" ] || { echo "deploy/balancer.toml has no line run" >&2; exit 2; }
unset NODE_OPERATOR NODE_ACCEPT_FD NODE_LISTEN NODE_DISCOVERY NODE_CONFIG NODE_NAME
temporary=$(mktemp -d) || exit 2
child=
trap 'kill -KILL $child 2>/dev/null; rm -rf "$temporary"; exit 2' INT TERM
CASE_FOLDER=$folder CASE_TMP=$temporary CASE_RUN=$run TROUBLE=${TROUBLE:-1} timeout -k 2 116 "$program" &
child=$!
wait $child
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$temporary"/*.log "$KEEP_LOGS"/ 2>/dev/null
rm -rf "$temporary"
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit $code
