# Sourced by ./run after the build: every test, one closing line.
passed=0
failed=0
known_red=0

# True when KNOWN-RED.txt has an entry "NAME | ..." of exactly this name.
is_known_red() {
    awk -F ' [|] ' -v name="$1" '$1 == name { found = 1 }
        END { exit !found }' KNOWN-RED.txt
}

# run_check NAME COMMAND...: one check; its output is shown when it fails. A
# failure that is listed as known red does not fail the whole.
run_check() {
    local name=$1 log
    shift
    log=$(mktemp)
    if "$@" >"$log" 2>&1; then
        passed=$((passed + 1))
        echo "pass  $name"
    elif is_known_red "$name"; then
        known_red=$((known_red + 1))
        echo "known red  $name"
        tail -n 5 "$log"
    else
        failed=$((failed + 1))
        echo "FAIL  $name"
        tail -n 60 "$log"
    fi
    rm -f "$log"
}

# The unit tests that are listed as "unit: NAME", one a line. Such a name holds
# no comma, which separates the filters of the test program.
known_red_units() {
    awk -F ' [|] ' '$1 ~ /^unit: / { print substr($1, 7) }' KNOWN-RED.txt
}

count_unit_tests() {
    local log line excluded
    log=$(mktemp)
    excluded=$(known_red_units | paste -sd ,)
    "$build/tests/briardrum_tests" --test-case-exclude="$excluded" "$@" \
        >"$log" 2>&1 || true
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
while read -r name; do
    run_check "unit: $name" "$build/tests/briardrum_tests" --test-case="$name"
done < <(known_red_units)
for part in scripts/checks/*.sh; do
    [ -e "$part" ] && . "$part"
done
if grep -q '^[^#]' KNOWN-RED.txt 2>/dev/null; then
    echo "known red, $known_red seen in this run:"
    grep '^[^#]' KNOWN-RED.txt
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
