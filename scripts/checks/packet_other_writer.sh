# Sourced by scripts/test.sh: another writer sends heartbeats and leave calls of
# servers that live, while an agent is killed and another one is stopped, and
# both start again.
. scripts/lib/packet_site.sh

start_packet_site 2 6 --seconds 12 --other-writer-ms 60 --seed 1
run_check "other writer: balancers become ready" wait_for_site_ready
sleep 2
kill -KILL "${site_agents[4]}"
start_site_process agent-4 briardrum-packet-agent
sleep 2
kill -TERM "${site_agents[5]}"
wait "${site_agents[5]}" || true
start_site_process agent-5 briardrum-packet-agent

other_writer_verdict() {
    local code=0
    wait_for_site_done || code=$?
    cat "$site_work/site.log"
    [ "$code" -eq 0 ] || grep -h "event=flow_reset" "$site_work"/*.log | tail -n 15
    return "$code"
}
run_check "other writer: every promise held, no server shut out" \
    other_writer_verdict
stop_packet_site
