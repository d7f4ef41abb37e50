# Sourced by ./run after the build: a whole deployment on loopback. While
# callers run, every balancer is replaced and one backend server drained; then
# a summary says whether the promises held.
. scripts/lib/deployment.sh

hold=0
name=salinecarri
while [ $# -gt 0 ]; do
    case $1 in
        --hold) hold=$2 && shift 2 ;;
        --deployment) name=$2 && shift 2 ;;
        *)
            echo "usage: ./run demo [--deployment NAME] [--hold SECONDS]" >&2
            exit 64
            ;;
    esac
done
choose_deployment "$name" || exit
trap stop_deployment EXIT
trap 'exit 130' INT TERM

progress() { echo "$(date +%H:%M:%S)  $*"; }

caller_pids=()
# start_caller SERVICE MODE SESSIONS INTERVAL
start_caller() {
    local service=$1 mode=$2 label="caller-${services[$1]}-$2"
    "$build/stand_ins/caller" "$mode" --count 0 --sessions "$3" \
        --interval-ms "$4" --timeout-ms 60000 --key-prefix "$label" \
        --target "$(service_address "$service")" \
        --service "${services[service]}" >"$work/$label.log" 2>&1 &
    caller_pids+=("$!")
    deployment_pids+=("$!")
}

start_callers() {
    local service
    for service in 0 1; do
        start_caller "$service" lookups 10 50
        start_caller "$service" session 30 200
        start_caller "$service" stream 10 200
        start_caller "$service" confirm 10 200
        start_caller "$service" upload 2 500
    done
}

stop_callers() {
    local pid
    kill -TERM "${caller_pids[@]}" 2>/dev/null
    for pid in "${caller_pids[@]}"; do
        wait "$pid" 2>/dev/null
    done
}

# replace_balancer OLD: a new process takes its place, then it leaves.
replace_balancer() {
    local old=$1 new=$balancer_count n next=()
    balancer_count=$((balancer_count + 1))
    start_balancer "$new" "$((servers[0] + servers[1]))" || return
    for n in "${live_balancers[@]}"; do
        [ "$n" = "$old" ] || next+=("$n")
    done
    tell_fabric "${next[@]}" "$new"
    sleep 0.5
    stop_process "${balancer_pids[$old]}"
    local code=$?
    progress "balancer-$old replaced by balancer-$new, exit code $code"
    [ "$code" = 0 ] || stops_failed=$((stops_failed + 1))
}

drain_server() {
    local agent="agent-${services[0]}-1"
    stop_process "${agent_pids[1]}"
    local code=$?
    progress "$agent drained, exit code $code"
    [ "$code" = 0 ] || stops_failed=$((stops_failed + 1))
}

# field LINE KEY
field() { sed -E "s/.* $2=([0-9]+).*/\1/" <<<"$1"; }

# Most and least lookups, over the servers that stayed, in percent of the
# mean.
imbalance_of() {
    local n
    for ((n = 0; n < servers[$1]; ++n)); do
        [ "$1$n" = 01 ] && continue
        (http_get $(($(agent_port "$1" "$n") + 3)) /metrics) 2>/dev/null |
            awk '$1 == "briardrum_agent_flows" { print $2 }'
    done | awk '
        { sum += $1; if ($1 > most) most = $1 }
        END { if (sum > 0) printf "%.2f", most * NR / sum; else print "none" }'
}

# The page of the day, from every agent that is still there.
write_page() {
    local service n from=()
    for service in 0 1; do
        for ((n = 0; n < servers[service]; ++n)); do
            [ "$service$n" = 01 ] && continue
            from+=(--from "127.0.0.1:$(($(agent_port "$service" "$n") + 3))")
        done
    done
    mkdir -p out
    "$build/programs/briardrum" report "${from[@]}" --format html \
        --out "out/$name.html" &&
        progress "the page is at out/$name.html"
    "$build/programs/briardrum" report "${from[@]}" | head -n 12
}

summarise() {
    local service log line requests whole bad broken twice key
    bad_total=$stops_failed
    for service in 0 1; do
        requests=0 whole=0 bad=0 broken=0
        for log in "$work/caller-${services[service]}"-*.log; do
            line=$(grep '^event=caller_summary' "$log") || {
                echo "no summary in $log" >&2
                bad_total=$((bad_total + 1))
                continue
            }
            requests=$((requests + $(field "$line" sent)))
            whole=$((whole + $(field "$line" answered)))
            for key in wrong missing; do
                bad=$((bad + $(field "$line" "$key")))
            done
            broken=$((broken + $(field "$line" broken_flows)))
        done
        twice=$(grep -h 'runs=' "$work/server-${services[service]}"-*.log |
            grep -vc 'runs=1$')
        echo "service=${services[service]} requests=$requests whole=$whole" \
            "wrong_or_missing=$bad twice_run=$twice broken_flows=$broken" \
            "imbalance=${imbalance[service]}"
        bad_total=$((bad_total + bad + twice + broken))
    done
    echo "planned_stops_failed=$stops_failed"
}

stops_failed=0
set +e
progress "starting ${servers[0]} ${services[0]} and ${servers[1]}" \
    "${services[1]} servers, three balancers"
start_deployment || exit 1
progress "${services[0]} at $(service_address 0)," \
    "${services[1]} at $(service_address 1) (CoAP over UDP)"
start_callers
progress "callers started: lookups, sessions, streams, confirmations, uploads"
sleep 3
for n in 0 1 2; do
    replace_balancer "$n"
    sleep 1
done
drain_server
sleep 3
imbalance=("$(imbalance_of 0)" "$(imbalance_of 1)")
stop_callers
progress "callers stopped"
write_page
summarise
if [ "$hold" -gt 0 ]; then
    progress "holding for $hold s: logs and settings in $work"
    sleep "$hold" &
    wait $!
fi
if [ "$bad_total" -gt 0 ]; then
    KEEP_LOGS=1
    echo "a promise was broken; logs are in $work" >&2
    exit 1
fi
echo "every promise held"
