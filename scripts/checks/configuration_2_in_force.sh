# Sourced by scripts/test.sh after configuration_1_operator.sh, whose functions it uses:
# changes get into force on real balancers, and stay, while the store fails.

# Longest wait for something that must happen; the target itself is checked
# in virtual time.
in_force_tries=300

write_balancer_settings() {
    local n=$1 data_centre=$2
    cat >"$operator_folder/balancer-$n.json" <<EOF
{
    "name": "check-balancer-$n", "data_centre": "$data_centre",
    "packets": "127.0.0.1:$((base + n))",
    "data": "127.0.0.1:$((base + 10 + n))",
    "control": "127.0.0.1:$((base + 20 + n))",
    "http": "127.0.0.1:$((base + 30 + n))",
    "fabric": "127.0.0.1:$((base + 40))",
    "start_addresses": ["127.0.0.1:$((base + 21))"],
    "store": {"endpoint": "$store_address", "root": "/briardrum"}
}
EOF
}

start_balancer() {
    "$build/programs/briardrum-balancer" \
        --settings "$operator_folder/balancer-$1.json" \
        >>"$operator_folder/balancer-$1.log" 2>&1 &
    balancer_pids[$1]=$!
}

stop_balancers() {
    local pid
    for pid in "${balancer_pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
}

version_at() {
    curl -s --max-time 2 "http://127.0.0.1:$((base + 30 + $1))/metrics" |
        sed -n 's/^briardrum_configuration_version //p'
}

# in_force VERSION BALANCER...: waits until each has it, and none a larger.
in_force() {
    local version=$1 tries n missing=
    shift
    for tries in $(seq "$in_force_tries"); do
        missing=
        for n in "$@"; do
            [ "$(version_at "$n")" = "$version" ] || missing+=" $n"
        done
        [ -z "$missing" ] && return
        sleep 0.1
    done
    echo "version $version is not in force at$missing"
    tail -n 5 "$operator_folder"/balancer-*.log
    return 1
}

status_line() {
    briardrum status --daemon "127.0.0.1:$((base + 31))" \
        --daemon "127.0.0.1:$((base + 32))"
}

# One run through the faults, as each starts from where the last one ended.
run_balancers() {
    local n
    for n in 1 2 3; do
        start_balancer "$n"
    done
    create_fleet && in_force 3 1 2 3 &&
        expect 0 status_line && said "in force" || return 1
    set_faults '{"silent_watches": true}'
    expect 0 briardrum use peak && in_force 4 1 2 3 || return 1
    set_faults '{"late_events_ms": 300, "repeat_events": true}'
    expect 0 briardrum use ordinary && in_force 5 1 2 3 || return 1
    set_faults '{"down": true}'
    kill -KILL "${balancer_pids[2]}"
    wait "${balancer_pids[2]}" 2>/dev/null || true
    start_balancer 2
    # A newcomer during an outage takes the newest from its peers.
    in_force 5 1 2 3 || return 1
    curl -sf "http://127.0.0.1:$((base + 32))/healthz" || return 1
    set_faults '{}'
    expect 0 briardrum rotate-key && in_force 6 1 2 3
}

check_in_force() {
    local base=$((20000 + RANDOM % 200 * 50)) code=0
    balancer_pids=()
    write_balancer_settings 1 trapani
    write_balancer_settings 2 trapani
    write_balancer_settings 3 marsala
    run_balancers || code=1
    stop_balancers
    return "$code"
}

# Without a configuration a balancer serves nothing and says so.
check_holds_nothing() {
    local base=$((20000 + RANDOM % 200 * 50)) code=1 tries
    balancer_pids=()
    set_faults '{"down": true}'
    write_balancer_settings 1 trapani
    start_balancer 1
    for tries in $(seq "$in_force_tries"); do
        curl -s --max-time 2 "http://127.0.0.1:$((base + 31))/healthz" |
            grep -q "no configuration" && code=0 && break
        sleep 0.1
    done
    stop_balancers
    return "$code"
}

run_operator_check in_force
run_operator_check holds_nothing
