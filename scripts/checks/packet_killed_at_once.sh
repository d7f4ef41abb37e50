# Sourced by scripts/test.sh: all balancers and one agent are killed at the same
# moment and start again, while flows are open at the servers of the others,
# twice; then a short seeded run of faults with such kills.
. scripts/lib/packet_site.sh

start_packet_site 3 6 --seconds 15
run_check "killed at once: balancers become ready" wait_for_site_ready
for n in 3 4; do
    sleep 2
    kill -KILL "${site_balancers[@]}" "${site_agents[n]}"
    sleep 0.5
    for balancer in 1 2 3; do
        start_site_process "balancer-$balancer" briardrum-packet-balancer
        site_balancers[balancer]=$started_pid
    done
    start_site_process "agent-$n" briardrum-packet-agent
done

killed_at_once_verdict() {
    local code=0
    wait_for_site_done || code=$?
    cat "$site_work/site.log"
    [ "$code" -eq 0 ] || grep -h "event=flow_reset" "$site_work"/*.log | tail -n 15
    return "$code"
}
run_check "killed at once: every promise held" killed_at_once_verdict

restarted_processes_read_all_agents() {
    local name
    for name in agent-3 agent-4 balancer-1; do
        grep "event=registered_agents_read" "$site_work/$name.log" |
            tail -n 1 | grep -q "agents=6 complete=yes" || return
    done
}
run_check "killed at once: restarted processes read every agent" \
    restarted_processes_read_all_agents
stop_packet_site


faults_seed_holds() {
    (
        set -- --seeds 1 --from 1008 --herd
        . scripts/faults.sh
    )
}
run_check "killed at once: a seeded run of faults" faults_seed_holds
