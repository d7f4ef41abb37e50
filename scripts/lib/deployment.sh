# Sourced: describes a deployment, writes its settings and runs it on
# loopback. Processes are started here and nowhere else; stop_deployment ends
# those that were started here and no other.
#
#     choose_deployment salinecarri
#     start_deployment
#     ...
#     stop_deployment

deployment_pids=()

# choose_deployment NAME: sets what the deployment has. BRIARDRUM_PORTS moves
# the ports of its processes, BRIARDRUM_SERVICE_PORTS those of its services,
# so that tests can run beside a demo.
choose_deployment() {
    deployment=$1
    case $deployment in
        salinecarri)
            centres=(trapani marsala paceco)
            services=(manifest docs)
            servers=(7 3)
            slots=5
            port_base=${BRIARDRUM_PORTS:-21000}
            service_port_base=${BRIARDRUM_SERVICE_PORTS:-5683}
            ;;
        association)
            centres=(plovdiv-a plovdiv-b plovdiv-c)
            services=(orders surveys)
            servers=(7 3)
            slots=3
            port_base=${BRIARDRUM_PORTS:-22000}
            service_port_base=${BRIARDRUM_SERVICE_PORTS:-5783}
            ;;
        *)
            echo "unknown deployment '$deployment': salinecarri or association" >&2
            return 64
            ;;
    esac
    fabric_port=$port_base
    work=$(mktemp -d)
    # Balancers are counted on as they are replaced.
    balancer_count=0
    live_balancers=()
}

service_address() { echo "127.0.0.1:$((service_port_base + 10 * $1))"; }

# Each process has a block of four ports: packets or server, data, control,
# HTTP. Agents come after the balancers' blocks.
balancer_port() { echo $((port_base + 10 + 4 * $1)); }
agent_port() { echo $((port_base + 110 + 100 * $1 + 4 * $2)); }

# All processes start with the control addresses of the first balancers.
start_addresses() {
    local n out=()
    for n in 0 1 2; do
        out+=("\"127.0.0.1:$(($(balancer_port $n) + 2))\"")
    done
    (IFS=, && echo "${out[*]}")
}

write_configuration() {
    local n secret
    secret=$(od -An -tx1 -N32 /dev/urandom | tr -d ' \n')
    {
        echo '{'
        echo '    "version": 1, "in_force": "ordinary",'
        echo '    "services": {'
        for n in 0 1; do
            printf '        "%s": {"address": "%s"}%s\n' "${services[n]}" \
                "$(service_address "$n")" "$([ "$n" = 0 ] && echo ,)"
        done
        echo '    },'
        echo '    "presets": {"ordinary": {'
        printf '        "%s": {"share_percent": 60, "urgency": "urgent"},\n' \
            "${services[0]}"
        printf '        "%s": {"share_percent": 30}\n' "${services[1]}"
        echo '    }},'
        echo "    \"cookie_keys\": [{\"id\": 1, \"secret\": \"$secret\"}]"
        echo '}'
    } >"$work/configuration.json"
}

# write_balancer_settings N
write_balancer_settings() {
    local port centre
    port=$(balancer_port "$1")
    centre=${centres[$(($1 % ${#centres[@]}))]}
    cat >"$work/balancer-$1.json" <<EOF
{
    // Entry VM $1.
    "name": "balancer-$1", "data_centre": "$centre",
    "packets": "127.0.0.1:$port", "data": "127.0.0.1:$((port + 1))",
    "control": "127.0.0.1:$((port + 2))", "http": "127.0.0.1:$((port + 3))",
    "fabric": "127.0.0.1:$fabric_port",
    "start_addresses": [$(start_addresses)]
}
EOF
}

# write_agent_settings SERVICE N
write_agent_settings() {
    local port centre name
    port=$(agent_port "$1" "$2")
    centre=${centres[$(($2 % ${#centres[@]}))]}
    name=${services[$1]}-$2
    cat >"$work/$name.json" <<EOF
{
    // Beside backend server $2 of ${services[$1]}.
    "name": "agent-$name", "data_centre": "$centre",
    "service": "${services[$1]}", "server": "127.0.0.1:$port",
    "data": "127.0.0.1:$((port + 1))",
    "control": "127.0.0.1:$((port + 2))", "http": "127.0.0.1:$((port + 3))",
    "slots": $slots, "stop_bound_ms": 30000,
    "start_addresses": [$(start_addresses)]
}
EOF
}

# start NAME COMMAND...: runs a process in the background, its output in
# $work/NAME.log; sets started_pid.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    started_pid=$!
    deployment_pids+=("$started_pid")
}

# wait_for WHAT COMMAND...: until the command succeeds; fails after a while.
wait_for() {
    local what=$1 n
    shift
    for ((n = 0; n < 1200; ++n)); do
        "$@" >/dev/null 2>&1 && return
        sleep 0.05
    done
    echo "gave up waiting for $what" >&2
    return 1
}

# http_get PORT PATH: the body; fails unless the status is 200.
http_get() {
    local status line body
    exec 9<>"/dev/tcp/127.0.0.1/$1" || return
    printf 'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$2" >&9
    read -r _ status _ <&9
    while read -r line <&9 && [ "$line" != $'\r' ]; do :; done
    body=$(cat <&9)
    exec 9<&-
    echo "$body"
    [ "$status" = 200 ]
}

is_healthy() { (http_get "$1" /healthz) >/dev/null 2>&1; }

# metric PORT NAME: the value of a metric with all its labels.
metric() {
    (http_get "$1" /metrics) 2>/dev/null |
        awk -v name="briardrum_$2" '$1 == name { print $2 }'
}

sees_agents() {
    [ "$(metric "$1" 'members_agent{state="ready"}')" -ge "$2" ]
}

# start_balancer N: writes its settings, starts it and waits until it knows
# as many ready agents as there are (or $2).
start_balancer() {
    local expected=${2:-0}
    write_balancer_settings "$1"
    start "balancer-$1" "$build/programs/briardrum-balancer" \
        --settings "$work/balancer-$1.json" \
        --configuration "$work/configuration.json"
    balancer_pids[$1]=$started_pid
    wait_for "balancer $1" is_healthy $(($(balancer_port "$1") + 3)) &&
        wait_for "balancer $1 to know the agents" sees_agents \
            $(($(balancer_port "$1") + 3)) "$expected"
}

# tell_fabric N...: the balancers that the fabric sprays to.
tell_fabric() {
    local n
    for n in "$@"; do
        echo "127.0.0.1:$(balancer_port "$n")"
    done >"$work/balancers.new"
    mv "$work/balancers.new" "$work/balancers"
    live_balancers=("$@")
}

# start_server SERVICE N: one backend server and its agent.
start_server() {
    local name=${services[$1]}-$2 port
    port=$(agent_port "$1" "$2")
    start "server-$name" "$build/stand_ins/backend_server" \
        --service "${services[$1]}" --server "$name" --slots "$slots" \
        --listen "127.0.0.1:$port"
    write_agent_settings "$1" "$2"
    start "agent-$name" "$build/programs/briardrum-agent" \
        --settings "$work/$name.json" \
        --configuration "$work/configuration.json"
    agent_pids[$((100 * $1 + $2))]=$started_pid
}

agents_are_ready() {
    local service n
    for service in 0 1; do
        for ((n = 0; n < servers[service]; ++n)); do
            is_healthy $(($(agent_port "$service" "$n") + 3)) || return
        done
    done
}

start_deployment() {
    local service n
    declare -gA balancer_pids=() agent_pids=()
    write_configuration
    for service in 0 1; do
        for ((n = 0; n < servers[service]; ++n)); do
            start_server "$service" "$n"
        done
    done
    for n in 0 1 2; do
        start_balancer "$n" || return
    done
    wait_for "the agents" agents_are_ready || return
    for n in 0 1 2; do
        wait_for "balancer $n to know the agents" sees_agents \
            $(($(balancer_port "$n") + 3)) $((servers[0] + servers[1])) ||
            return
    done
    balancer_count=3
    tell_fabric 0 1 2
    start fabric "$build/stand_ins/fabric" --back "127.0.0.1:$fabric_port" \
        --service "$(service_address 0)" --service "$(service_address 1)" \
        --balancers "$work/balancers" --report
    sleep 0.3
}

# stop_process PID: SIGTERM, then waits; gives its exit code.
stop_process() {
    kill "$1" 2>/dev/null
    wait "$1"
}

# Ends what was started here, at once.
stop_deployment() {
    local pid
    for pid in "${deployment_pids[@]}"; do
        kill -9 "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    deployment_pids=()
    [ -n "${KEEP_LOGS:-}" ] || rm -rf "$work"
    return 0
}

# call SERVICE MODE ARGUMENTS...: a caller of the service.
call() {
    local service=$1 mode=$2
    shift 2
    "$build/stand_ins/caller" "$mode" \
        --target "$(service_address "$service")" \
        --service "${services[service]}" "$@"
}
