# Sourced by ./run after the build: every test, one closing line.
passed=0
failed=0

# run_check NAME COMMAND...: one check; its output is shown when it fails.
run_check() {
    local name=$1 log
    shift
    log=$(mktemp)
    if "$@" >"$log" 2>&1; then
        passed=$((passed + 1))
        echo "pass  $name"
    else
        failed=$((failed + 1))
        echo "FAIL  $name"
        tail -n 60 "$log"
    fi
    rm -f "$log"
}

count_unit_tests() {
    local log line
    log=$(mktemp)
    "$build/tests/briardrum_tests" "$@" >"$log" 2>&1 || true
    cat "$log"
    line=$(grep -E '^\[doctest\] test cases:' "$log" || true)
    rm -f "$log"
    if [ -z "$line" ]; then
        echo "FAIL  unit tests did not finish"
        failed=$((failed + 1))
        return
    fi
    passed=$((passed + $(sed -E 's/.*\| *([0-9]+) passed.*/\1/' <<<"$line")))
    failed=$((failed + $(sed -E 's/.*\| *([0-9]+) failed.*/\1/' <<<"$line")))
}

count_unit_tests "$@"
for part in scripts/checks/*.sh; do
    [ -e "$part" ] && . "$part"
done
if grep -q '^[^#]' KNOWN-RED.txt 2>/dev/null; then
    echo "known red:"
    grep '^[^#]' KNOWN-RED.txt
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
