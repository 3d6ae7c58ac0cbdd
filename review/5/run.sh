#!/bin/sh
# Discovery refuses a restarted gateway once: does the gateway stop sending to a draining db machine in time?
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/reachwind ] || [ ! -x review/bin/lab ]; then
	echo "build first: the build command of deploy/balancer.toml, then review/build.sh"
	exit 2
fi
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RUN
exec review/bin/lab crowd review/5
