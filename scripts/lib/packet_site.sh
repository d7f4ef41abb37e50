# Sourced: the packet programs on loopback beside the stand-in for the users'
# platform. Each VM is an address of 127.0.0.0/8; all have the same ports.
#
#     site_more_settings=LINES    (optional: added to every settings file)
#     start_packet_site BALANCERS AGENTS ARGUMENTS...
#     wait_for_site_ready; ...; wait_for_site_done
#     stop_packet_site

site_pids=()

# site_settings NAME ADDRESS SERVICE: one process's settings file.
site_settings() {
    local name=$1 ip=$2 service=$3
    cat >"$site_work/$name.conf" <<EOF
node=$name
ip=$ip
zone=zone-$((${ip##*.} % 3))
listenAddrs.datagramAddr=$ip:$site_ports
listenAddrs.readyAddr=$ip:$((site_ports + 1))
listenAddrs.control=$ip:$((site_ports + 2))
listenAddrs.outbound=$ip:$((site_ports + 3))
internalPorts=$((site_ports + 5)),$((site_ports + 9))
seeds=127.1.0.1:$((site_ports + 2)),127.1.0.2:$((site_ports + 2))
heartbeatMs=300
bounds.flowMaxS=60
bounds.graceS=2
app=$ip:$((site_ports + 4))
service=$service
platform.address=127.4.0.1:$((site_ports + 6))
${site_more_settings:-}
EOF
}

# start_site_process NAME PROGRAM: sets started_pid.
start_site_process() {
    BRIARDRUM_CONFIG=$site_work/$1.conf "$build/platform/$2" \
        >>"$site_work/$1.log" 2>&1 &
    started_pid=$!
    site_pids+=("$started_pid")
}

start_packet_site() {
    local balancers=$1 agents=$2 n service
    shift 2
    site_work=$(mktemp -d)
    site_ports=${BRIARDRUM_SITE_PORTS:-$((25000 + $$ % 300 * 20))}
    site_balancers=()
    site_agents=()
    for ((n = 1; n <= balancers; n++)); do
        site_settings "balancer-$n" "127.1.0.$n" ""
        start_site_process "balancer-$n" briardrum-packet-balancer
        site_balancers[n]=$started_pid
    done
    for ((n = 1; n <= agents; n++)); do
        service=orders
        [ $((n % 2)) -eq 0 ] && service=surveys
        site_settings "agent-$n" "127.2.0.$n" "$service"
        start_site_process "agent-$n" briardrum-packet-agent
        site_agents[n]=$started_pid
    done
    "$build/stand_ins/packet_site" --store "127.4.0.1:$((site_ports + 6))" \
        --balancers "$balancers" --agents "$agents" \
        --port-base "$site_ports" "$@" >"$site_work/site.log" 2>&1 &
    site_pid=$!
}

wait_for_site_ready() {
    local n
    for ((n = 0; n < 200; n++)); do
        grep -qs site_ready "$site_work/site.log" && return
        sleep 0.1
    done
    return 1
}

# Brings the store back from an older copy of its data.
restore_store() {
    kill -USR1 "$site_pid"
}

# True when these balancers adopted the newest version that was written.
newest_version_adopted() {
    local name newest held all=0
    newest=$(sed -n 's/.*site_done.* version=\([0-9]*\).*/\1/p' \
        "$site_work/site.log")
    for name in "$@"; do
        held=$(sed -n 's/.*event=configuration_adopted version=\([0-9]*\).*/\1/p' \
            "$site_work/$name.log" | tail -n 1)
        [ "$held" = "$newest" ] && continue
        echo "$name holds version $held of $newest; logs in $site_work" >&2
        all=1
    done
    return "$all"
}

# The stand-in's own verdict.
wait_for_site_done() {
    wait "$site_pid"
}

stop_packet_site() {
    local pid
    for pid in "${site_pids[@]}"; do
        kill "$pid" 2>/dev/null || true
        # A paused process ends once it runs.
        kill -CONT "$pid" 2>/dev/null || true
    done
    for pid in "${site_pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    site_pids=()
}
