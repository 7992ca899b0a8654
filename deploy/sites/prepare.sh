#!/bin/bash
# Puts beside the sites of this folder what the bench wants there, from the folder of a site of the kit:
#   deploy/sites/prepare.sh FOLDER
# What is put there is the kit's and is ignored by git.
set -eu
if [ $# -ne 1 ] || [ ! -f "$1/wire.json" ]; then
	echo "usage: $0 FOLDER, which holds wire.json, real.json, design.json and unlock.txt" >&2
	exit 2
fi
here=$(dirname "$0")
for f in wire.json real.json design.json unlock.txt; do
	install -m 644 "$1/$f" "$here/$f"
done
