#!/usr/bin/env bash
# Exits with 1 if FLOW was broken, 0 if it held, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
balancer=target/platform/briardrum-packet-balancer
agent=target/platform/briardrum-packet-agent
driver=review/target/killed_at_once
[ -x "$balancer" ] && [ -x "$agent" ] && [ -x "$driver" ] || exit 2
work=$(mktemp -d) || exit 2
timeout -k 2 100 "$driver" "$work" "$balancer" "$agent" "${TROUBLE:-1}"
code=$?
cp "$work/record.txt" "$here/record.txt"
rm -rf "$work"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
