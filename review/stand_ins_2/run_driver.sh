# Sourced by the run.sh of a case, which sets record, driver, balancer and agent
# and exports TROUBLE. Runs the driver; exit 1: the rule was broken, 0: it held,
# 2: the case could not run.
for file in "$driver" "$balancer" "$agent"; do
    if [ ! -x "$file" ]; then
        echo "$file is missing: build the deploy file and review/build-2.sh" >&2
        exit 2
    fi
done
for program in "$balancer" "$agent"; do
    if ! grep -qxF "run = \"$program\"" deploy/system.toml; then
        echo "$program is not a command of the deploy file" >&2
        exit 2
    fi
done
work=$(mktemp -d) || exit 2
verdict=0
timeout -k 2 115 "$driver" "$record" "$work" "$balancer" "$agent" || verdict=$?
# Processes that a case which was stopped left behind, by their ids.
sed -n 's/.* starts as process \([0-9]*\)$/\1/p' "$record" |
    while read -r pid; do
        if grep -qsF "$work" "/proc/$pid/environ"; then
            kill -KILL "$pid" 2>/dev/null || true
        fi
    done
if [ -n "${KEEP_LOGS:-}" ]; then
    echo "logs in $work" >&2
else
    rm -rf "$work"
fi
[ "$verdict" -le 1 ] || verdict=2
exit "$verdict"
