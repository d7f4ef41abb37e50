# Sourced by scripts/test.sh: how daemons end, and what they survive: wrong
# files, taken addresses, a graceful stop, a forced one, a killed balancer, a
# paused agent.
. scripts/lib/deployment.sh

stopping_ports=$((30400 + $$ % 5 * 200))
BRIARDRUM_PORTS=$stopping_ports \
    BRIARDRUM_SERVICE_PORTS=$((stopping_ports + 180)) \
    choose_deployment salinecarri
servers=(2 1)

# ends_with CODE COMMAND...
ends_with() {
    local expected=$1 code=0
    shift
    "$@" || code=$?
    [ "$code" = "$expected" ]
}

names_every_fault() {
    printf '{"name": "a b", "colour": 1}' >"$work/wrong.json"
    ends_with 65 "$build/programs/briardrum-agent" --check \
        --settings "$work/wrong.json" 2>"$work/faults" &&
        [ "$(grep -c "^$work/wrong.json: .*: found .*; allowed: " \
            "$work/faults")" -eq 9 ]
}

good_files_pass() {
    "$build/programs/briardrum-balancer" --check \
        --settings "$work/balancer-0.json" \
        --configuration "$work/configuration.json"
}

taken_address_is_named() {
    ends_with 69 "$build/programs/briardrum-balancer" \
        --settings "$work/balancer-0.json" 2>"$work/taken" &&
        grep -q "127.0.0.1:$(balancer_port 0)" "$work/taken"
}

serves() { call 0 lookups --count 5 --sessions 3 --timeout-ms 60000; }

# A killed balancer tells nobody; callers retransmit and reach another.
survives_killed_balancer() {
    kill -9 "${balancer_pids[2]}"
    wait "${balancer_pids[2]}" 2>/dev/null
    serves || return
    tell_fabric 0 1
    serves
}

# A paused agent's flows wait; a caller with a new flow reaches the other.
survives_paused_agent() {
    kill -STOP "${agent_pids[1]}"
    serves
    local code=$?
    kill -CONT "${agent_pids[1]}"
    return "$code"
}

stops_gracefully() { ends_with 0 stop_process "${agent_pids[1]}"; }

forced_stop_has_its_code() {
    kill -TERM "${agent_pids[0]}"
    wait_for "the stop to begin" \
        grep -q event=stopping "$work/agent-${services[0]}-0.log" &&
        ends_with 3 stop_process "${agent_pids[0]}"
}

run_check "stopping: every fault of the settings is named" names_every_fault
run_check "stopping: deployment starts" start_deployment
run_check "stopping: good files pass --check" good_files_pass
run_check "stopping: a taken address is named" taken_address_is_named
run_check "stopping: a killed balancer is survived" survives_killed_balancer
run_check "stopping: a paused agent is survived" survives_paused_agent
run_check "stopping: SIGTERM ends an agent with 0" stops_gracefully
run_check "stopping: the rest serves on" serves
run_check "stopping: a second signal ends it with 3" forced_stop_has_its_code

stop_deployment
