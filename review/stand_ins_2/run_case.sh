# Sourced by the run.sh of a case, which sets "program": starts it with the
# commands of the deploy file. Exit 1: the rule was broken, 0: it held, 2: the
# case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
command_of() {
    sed -n "/^\[roles\.$1\]/,/^\[/s/^run = \"\(.*\)\"/\1/p" deploy/system.toml
}
balancer=$(command_of balancer)
agent=$(command_of agent)
for file in "target/review-2/$program" "$balancer" "$agent"; do
    if [ ! -x "$file" ]; then
        echo "$file is missing: build the deploy file and review/build-2.sh" >&2
        exit 2
    fi
done
work=$(mktemp -d)
verdict=0
timeout -k 2 115 "target/review-2/$program" "$folder/record.txt" "$work" \
    "$balancer" "$agent" || verdict=$?
# Processes that a case which was stopped left behind, by their ids.
sed -n 's/.* starts as process \([0-9]*\)$/\1/p' "$folder/record.txt" |
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
