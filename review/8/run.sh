#!/usr/bin/env bash
set -uo pipefail
program=foreign_heartbeat
. "$(dirname "$0")/../stand_ins_2/run_case.sh"
