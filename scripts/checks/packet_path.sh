# Sourced by scripts/test.sh: packet flows go the whole path through separate
# processes while a balancer is replaced, an agent is killed, a server drains,
# the store is away and the configuration changes.
. scripts/lib/packet_site.sh

start_packet_site 3 6 --seconds 12 --store-outage
run_check "packet path: balancers become ready" wait_for_site_ready
sleep 2
kill -TERM "${site_balancers[2]}"
sleep 3
start_site_process balancer-2 briardrum-packet-balancer
kill -KILL "${site_agents[4]}"
start_site_process agent-4 briardrum-packet-agent
# The settings change with a signal at one process, without at another.
for n in 5 6; do
    sed -i 's/^bounds.graceS=.*/bounds.graceS=3/' "$site_work/agent-$n.conf"
done
kill -HUP "${site_agents[5]}"

site_verdict() {
    local code=0
    wait_for_site_done || code=$?
    cat "$site_work/site.log"
    [ "$code" -eq 0 ] || tail -n 15 "$site_work"/*.log
    return "$code"
}
run_check "packet path: every promise held" site_verdict

almost_all_answered() {
    local line asked answered
    line=$(grep site_done "$site_work/site.log")
    asked=$(sed -E 's/.* asked=([0-9]+).*/\1/' <<<"$line")
    answered=$(sed -E 's/.* answered=([0-9]+).*/\1/' <<<"$line")
    echo "$line"
    [ $((answered * 100)) -ge $((asked * 95)) ]
}
run_check "packet path: 95 of 100 requests answered" almost_all_answered

every_process_logged() {
    local name event
    for name in balancer-1 balancer-2 agent-1 agent-4; do
        grep -q "event=started" "$site_work/$name.log" || return
    done
    grep -q "event=store_lost" "$site_work/balancer-1.log" &&
        grep -q "event=store_reached" "$site_work/balancer-1.log" &&
        grep -q "event=configuration_adopted version=2" \
            "$site_work/balancer-1.log" &&
        grep -q "event=reload_requested" "$site_work/agent-5.log" &&
        grep -q "event=settings_changed.*stop_bound_ms=2250" \
            "$site_work/agent-5.log" &&
        grep -q "event=settings_changed" "$site_work/agent-6.log" &&
        grep -q "event=stopped" "$site_work/balancer-2.log"
}
run_check "packet path: logs tell of stop, reload and store" \
    every_process_logged
stop_packet_site
