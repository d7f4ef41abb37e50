# Sourced by scripts/test.sh: the operators' command against the store
# stand-in, with the store's faults. run_operator_check NAME runs the function
# of that name with a store of its own.

operator_folder=

# Starts a store that is empty; its address goes into store_address.
start_store() {
    "$build/stand_ins/store" --listen 127.0.0.1:0 >"$operator_folder/store.log" &
    store_pid=$!
    local tries
    for tries in $(seq 100); do
        store_address=$(sed -n 's/.*address=//p' "$operator_folder/store.log")
        [ -n "$store_address" ] && return
        sleep 0.05
    done
    echo "the store stand-in did not start"
    return 1
}

set_faults() {
    curl -sf -XPOST "http://$store_address/stand_in/fault" -d "$1"
}

# The command as one operator runs it.
briardrum() {
    "$build/programs/briardrum" --store "$store_address" --name anna "$@"
}

# expect CODE COMMAND...: its exit code; output goes to out, errors to err.
expect() {
    local code=$1 found=0
    shift
    "$@" >"$operator_folder/out" 2>"$operator_folder/err" || found=$?
    cat "$operator_folder/out" "$operator_folder/err"
    if [ "$found" -ne "$code" ]; then
        echo "exit code $found, expected $code: $*"
        return 1
    fi
}

# said TEXT: the last command printed this, on either stream.
said() {
    if ! cat "$operator_folder/out" "$operator_folder/err" | grep -qF -- "$1"; then
        echo "not said: $1"
        return 1
    fi
}

create_fleet() {
    expect 0 briardrum service create orders --address 10.0.0.1:5683 &&
        expect 0 briardrum service create surveys --address 10.0.0.2:5683 &&
        expect 0 briardrum preset create peak
}

check_edits() {
    create_fleet || return 1
    cat >"$operator_folder/peak.json" <<EOF
{   // orders first
    "orders": {"share_percent": 70, "urgency": "urgent"},
    "surveys": {"share_percent": 20, "urgency": "bulk"}
}
EOF
    expect 0 briardrum preset edit peak --file "$operator_folder/peak.json" \
        --dry-run && said "+ preset peak orders share_percent 70" &&
        expect 0 briardrum status && said "version 3" &&
        expect 0 briardrum preset edit peak --file "$operator_folder/peak.json" &&
        expect 0 briardrum preset edit peak --service surveys \
            --share-percent 30 && said "share_percent 20 -> 30" &&
        expect 0 briardrum use peak &&
        expect 0 briardrum rotate-key && said "cookie_key 1 -> 2" &&
        expect 0 briardrum preset show peak && said "urgent" &&
        expect 0 briardrum service show --json && said '"address"' &&
        expect 0 briardrum history --last 2 && said "use preset peak" &&
        said "anna" &&
        expect 0 briardrum status --json && said '"in_force": "peak"'
}

check_refusals() {
    create_fleet || return 1
    expect 0 briardrum preset edit peak --service orders --share-percent 90 &&
        expect 65 briardrum preset edit peak --service surveys \
            --share-percent 20 && said "shares of 110%" &&
        expect 65 briardrum preset edit peak --service wax --share-percent 0 \
            --urgency high --queue-limit 0 &&
        said "peak.wax.share_percent: found 0" &&
        said 'peak.wax.urgency: found "high"' &&
        said "peak.wax.queue_limit: found 0" &&
        expect 65 briardrum service remove orders && said "preset peak" &&
        expect 65 briardrum preset remove ordinary && said "in force" &&
        expect 65 briardrum service create docs --address 10.0.0.1:5683 &&
        said "used by" &&
        expect 66 briardrum use storm && said "there are: ordinary, peak" &&
        expect 64 briardrum use &&
        expect 64 briardrum frobnicate &&
        expect 65 briardrum status --change nonsense &&
        expect 0 briardrum status && said "version 4"
}

# Two commands read the same version and write at the same time.
check_race() {
    create_fleet || return 1
    set_faults '{"slow_ms": 700}'
    briardrum service create docs --address 10.0.0.3:5683 --json \
        >"$operator_folder/one" 2>&1 &
    local other=$! one=0 two=0
    briardrum service create waybills --address 10.0.0.4:5683 --json \
        >"$operator_folder/two" 2>&1 || two=$?
    wait "$other" || one=$?
    set_faults '{}'
    cat "$operator_folder/one" "$operator_folder/two"
    if [ "$((one + two))" -ne 75 ] || [ "$((one * two))" -ne 0 ]; then
        echo "exit codes $one and $two, expected 0 and 75"
        return 1
    fi
    grep -q '"winner": {' "$operator_folder/one" "$operator_folder/two" &&
        expect 0 briardrum status && said "version 4" &&
        expect 0 briardrum history --last 1 && said "create service"
}

check_lost_answer() {
    create_fleet || return 1
    set_faults '{"lose_answers": 1}'
    expect 0 briardrum use peak && said "accepted: version 4" &&
        expect 0 briardrum status && said "version 4"
}

# The write takes effect, its answer is lost and the store stays away.
check_not_known_yet() {
    create_fleet || return 1
    set_faults '{"down_after_write": true}'
    expect 76 briardrum use peak --timeout 3 && said "not known yet" || return 1
    local change
    change=$(sed -n 's/.*status --change \([0-9a-f-]*\).*/\1/p' \
        "$operator_folder/err")
    set_faults '{}'
    expect 0 briardrum status --change "$change" && said "accepted" &&
        expect 0 briardrum status && said "version 4" &&
        expect 0 briardrum history --last 10 &&
        [ "$(grep -c "use preset peak" "$operator_folder/out")" -eq 1 ]
}

check_store_away() {
    create_fleet || return 1
    set_faults '{"down": true}'
    expect 69 briardrum use peak --timeout 2 && said "waiting for the store" &&
        expect 69 briardrum status --timeout 1 || return 1
    set_faults '{"slow_ms": 1200}'
    expect 0 briardrum use peak && said "waiting for the store: 1 s of 15 s"
}

check_completion() {
    create_fleet || return 1
    "$build/programs/briardrum" completion bash >"$operator_folder/completion"
    (
        . "$operator_folder/completion"
        COMP_WORDS=(briardrum use p) COMP_CWORD=2
        _briardrum
        [ "${COMPREPLY[*]}" = "peak" ] || exit 1
        COMP_WORDS=(briardrum pre) COMP_CWORD=1
        _briardrum
        [ "${COMPREPLY[*]}" = "preset" ]
    )
}

with_store() {
    start_store || return 1
    local code=0
    "$1" || code=1
    kill "$store_pid"
    wait "$store_pid" || code=1
    return "$code"
}

run_operator_check() {
    operator_folder=$(mktemp -d)
    run_check "operator: ${1//_/ }" with_store "check_$1"
    rm -rf "$operator_folder"
}

for operator_check in edits refusals race lost_answer not_known_yet \
    store_away completion; do
    run_operator_check "$operator_check"
done
