# Sourced by ./run after the build: the packet programs as separate processes
# beside the stand-in for the users' platform, while a seeded series of signals
# stops, kills, pauses and reloads them, overlapping, and the store goes away and
# comes back from older copies, and another writer sends heartbeats and leave
# calls of servers that live. With --herd, all balancers and some agents are
# killed at the same moment besides. The stand-in says what callers and servers
# saw.
# Prints a line a seed; fails when a promise was broken, a process ended by
# itself or a balancer does not hold the newest configuration at the end.
. scripts/lib/packet_site.sh

seeds=5
from=1
seconds=18
balancers=4
agents=8
herd=0
while [ $# -gt 0 ]; do
    case $1 in
    --herd)
        herd=1
        shift
        ;;
    --seeds | --from | --seconds | --balancers | --agents)
        case ${2:-} in
        '' | *[!0-9]*)
            echo "run: faults: $1 takes a number, not '${2:-}'" >&2
            exit 64
            ;;
        esac
        printf -v "${1#--}" '%s' "$2"
        shift 2
        ;;
    *)
        echo "run: faults takes --seeds, --from, --seconds, --balancers," \
            "--agents, --herd, not '$1'" >&2
        exit 64
        ;;
    esac
done

# State of each process: up, paused or down, and the tick when that ends.
declare -A fault_pid fault_state fault_until

fault_program() {
    case $1 in
    balancer-*) echo briardrum-packet-balancer ;;
    *) echo briardrum-packet-agent ;;
    esac
}

note_fault() {
    echo "tick=$fault_tick $*" >>"$site_work/faults.log"
}

# Ends what is due: resumes paused processes, starts ended ones again.
end_faults() {
    local name
    for name in "${!fault_pid[@]}"; do
        [ "${fault_state[$name]}" != up ] || continue
        [ "$fault_tick" -ge "${fault_until[$name]}" ] || continue
        if [ "${fault_state[$name]}" = paused ]; then
            kill -CONT "${fault_pid[$name]}"
        else
            wait "${fault_pid[$name]}" 2>/dev/null
            start_site_process "$name" "$(fault_program "$name")"
            fault_pid[$name]=$started_pid
        fi
        fault_state[$name]=up
        note_fault "up $name"
    done
}

# One random fault for a random process that is up.
begin_fault() {
    local names=("${!fault_pid[@]}") name kind
    mapfile -t names < <(printf '%s\n' "${names[@]}" | sort)
    name=${names[RANDOM % ${#names[@]}]}
    kind=$((RANDOM % 4))
    [ "${fault_state[$name]}" = up ] || return 0
    case $kind in
    0) kill -TERM "${fault_pid[$name]}" && fault_state[$name]=down ;;
    1) kill -KILL "${fault_pid[$name]}" && fault_state[$name]=down ;;
    2) kill -STOP "${fault_pid[$name]}" && fault_state[$name]=paused ;;
    3) kill -HUP "${fault_pid[$name]}" ;;
    esac
    fault_until[$name]=$((fault_tick + 3 + RANDOM % 20))
    note_fault "kind=$kind $name until=${fault_until[$name]}"
}

# Kills every balancer that is up and some agents at the same moment.
begin_herd_kill() {
    local name share=$((RANDOM % 60)) until=$((fault_tick + 3 + RANDOM % 8))
    local victims=()
    while read -r name; do
        [ "${fault_state[$name]}" = up ] || continue
        case $name in
        balancer-*) ;;
        *) [ $((RANDOM % 100)) -lt "$share" ] || continue ;;
        esac
        victims+=("${fault_pid[$name]}")
        fault_state[$name]=down
        fault_until[$name]=$until
    done < <(printf '%s\n' "${!fault_pid[@]}" | sort)
    [ ${#victims[@]} -gt 0 ] || return 0
    kill -KILL "${victims[@]}"
    note_fault "herd of ${#victims[@]} until=$until"
}

# Processes that should be up and are not.
count_ended() {
    local name ended=0
    for name in "${!fault_pid[@]}"; do
        [ "${fault_state[$name]}" = down ] && continue
        kill -0 "${fault_pid[$name]}" 2>/dev/null && continue
        echo "$name ended by itself" >&2
        ended=$((ended + 1))
    done
    return "$ended"
}

run_seed() {
    local n verdict=0 fault_ticks
    RANDOM=$1
    fault_pid=() fault_state=() fault_until=()
    start_packet_site "$balancers" "$agents" --seconds "$seconds" \
        --store-outage --other-writer-ms 400 --seed "$1"
    fault_balancers=()
    for ((n = 1; n <= balancers; n++)); do
        fault_balancers+=("balancer-$n")
        fault_pid[balancer-$n]=${site_balancers[n]}
        fault_state[balancer-$n]=up
    done
    for ((n = 1; n <= agents; n++)); do
        fault_pid[agent-$n]=${site_agents[n]}
        fault_state[agent-$n]=up
    done
    if ! wait_for_site_ready; then
        echo "seed=$1 verdict=fail reason=not_ready logs=$site_work"
        stop_packet_site
        return 1
    fi
    # Ticks of 0.1 s; the last third is calm.
    fault_ticks=$((seconds * 10 * 2 / 3))
    for ((fault_tick = 0; fault_tick < fault_ticks; fault_tick++)); do
        end_faults
        [ $((RANDOM % 5)) -ne 0 ] || begin_fault
        if [ "$herd" -eq 1 ] && [ $((RANDOM % 40)) -eq 0 ]; then
            begin_herd_kill
        fi
        if [ $((RANDOM % 50)) -eq 0 ]; then
            restore_store
            note_fault "store restored"
        fi
        sleep 0.1
    done
    fault_tick=1000000
    end_faults
    wait_for_site_done || verdict=$?
    count_ended || verdict=1
    newest_version_adopted "${fault_balancers[@]}" || verdict=1
    echo "seed=$1 verdict=$([ "$verdict" -eq 0 ] && echo pass || echo fail)" \
        "$(grep site_done "$site_work/site.log") logs=$site_work"
    stop_packet_site
    return "$verdict"
}

trap stop_packet_site EXIT
failed_seeds=0
for ((seed = from; seed < from + seeds; seed++)); do
    # Bash reports every killed process; the schedule is in faults.log.
    run_seed "$seed" 2> >(grep -v ' Killed ' >&2) || failed_seeds=$((failed_seeds + 1))
done
echo "$((seeds - failed_seeds)) passed, $failed_seeds failed"
[ "$failed_seeds" -eq 0 ]
