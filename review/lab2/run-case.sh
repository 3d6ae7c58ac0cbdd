#!/bin/sh
# Runs one case: run-case.sh NUMBER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out. What happened stands in review/NUMBER/record.txt.
set -u
n=$1
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/reachwind ] && [ -x bin/lab2 ] || { echo "build first: the build line of the deploy file, and review/build-2.sh"; exit 2; }
dir=$(mktemp -d) || exit 2
mkdir "$dir/tmp"
gw=
lab=
finish() {
	[ -n "$gw" ] && kill -KILL "$gw" 2>/dev/null
	[ -n "$lab" ] && kill -KILL "$lab" 2>/dev/null
	wait 2>/dev/null
	[ -f "$dir/record.txt" ] && cp "$dir/record.txt" "review/$n/record.txt"
	[ -f "$dir/gateway.log" ] && { echo "--- the gateway's log (last 40 lines)"; tail -n 40 "$dir/gateway.log"; } >>"review/$n/record.txt"
	rm -rf "$dir"
}
trap finish EXIT
trap 'exit 2' INT TERM
TROUBLE=${TROUBLE:-1} bin/lab2 "$n" "$dir" &
lab=$!
i=0
while [ ! -f "$dir/env" ]; do
	i=$((i + 1))
	[ $i -gt 100 ] && exit 2
	sleep 0.1
done
# As in the deploy file: run = "exec bin/reachwind serve", with the environment that the platform gives.
(. "$dir/env" && TMPDIR="$dir/tmp" && export TMPDIR && exec /bin/sh -c 'exec bin/reachwind serve') >"$dir/gateway.log" 2>&1 &
gw=$!
echo $gw >"$dir/gwpid"
wait "$lab"
code=$?
lab=
case $code in
0 | 1) ;;
*) code=2 ;;
esac
# A gateway that was told to end by SIGTERM may have ended.
[ -f "$dir/termed" ] || kill -0 "$gw" 2>/dev/null || { echo "the gateway has ended"; [ $code = 0 ] && code=1; }
kill -TERM "$gw" 2>/dev/null
exit $code
