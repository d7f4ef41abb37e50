# Sourced by scripts/test.sh: the caller and the backend server stand-in talk
# to one another without our daemons, in every mode, and a wrong service and a
# confirmation that runs twice are seen.
stand_in_port=$((20000 + $$ % 10000))
stand_in_log=$(mktemp)
caller_arguments=(--target "127.0.0.1:$stand_in_port" --service manifest
    --sessions 5 --interval-ms 20)

start_backend_server() {
    "$build/stand_ins/backend_server" --service manifest --server manifest-1 \
        --listen "127.0.0.1:$stand_in_port" "$@" >"$stand_in_log" &
    stand_in_pid=$!
    until grep -q '^event=listening' "$stand_in_log"; do
        kill -0 "$stand_in_pid" || return
        sleep 0.05
    done
}

call_directly() {
    "$build/stand_ins/caller" "${caller_arguments[@]}" "$@"
}

# The caller must count all five answers as wrong and say so by its exit code.
wrong_service_is_seen() {
    local line
    if line=$("$build/stand_ins/caller" lookups --service docs --count 1 \
        --target "127.0.0.1:$stand_in_port" --sessions 5); then
        return 1
    fi
    echo "$line"
    grep -q ' wrong=5 ' <<<"$line"
}

# Both callers confirm the same five keys.
second_run_is_seen() {
    call_directly confirm --count 1 --key-prefix twice &&
        call_directly confirm --count 1 --key-prefix twice &&
        [ "$(grep -c 'key=twice-.* runs=2$' "$stand_in_log")" -eq 5 ]
}

run_check "backend server starts" start_backend_server
for mode in lookups session stream confirm upload bill; do
    run_check "stand-ins directly: $mode" call_directly "$mode" --count 10
done
run_check "a wrong service is seen" wrong_service_is_seen
run_check "a second run is seen" second_run_is_seen
kill "$stand_in_pid" 2>/dev/null || true
wait "$stand_in_pid" || true
rm -f "$stand_in_log"
