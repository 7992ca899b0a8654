#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/bin/flaxshelf" ] || [ ! -x "$root/review/bin/standin" ]; then
	echo "build the project and run review/build.sh first"
	exit 2
fi
exec timeout -k 5 115 "$root/review/bin/standin" noise "$root" "$here/record.txt"
