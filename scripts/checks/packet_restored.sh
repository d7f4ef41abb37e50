# Sourced by scripts/test.sh: configurations come into force in separate
# processes after the platform's store came back from an older copy, twice; a
# balancer starts and another is paused meanwhile.
. scripts/lib/packet_site.sh

start_packet_site 3 4 --seconds 15
run_check "restored store: balancers become ready" wait_for_site_ready
sleep 3
restore_store
kill -KILL "${site_balancers[2]}"
sleep 0.3
start_site_process balancer-2 briardrum-packet-balancer
sleep 3
kill -STOP "${site_balancers[3]}"
restore_store
sleep 2
kill -CONT "${site_balancers[3]}"

restored_verdict() {
    local code=0
    wait_for_site_done || code=$?
    cat "$site_work/site.log"
    [ "$code" -eq 0 ] || tail -n 15 "$site_work"/*.log
    return "$code"
}
run_check "restored store: every promise held" restored_verdict
run_check "restored store: the newest configuration is in force" \
    newest_version_adopted balancer-1 balancer-2 balancer-3

restore_is_logged() {
    [ "$(grep -c 'event=store_restored key=op/config' \
        "$site_work/balancer-1.log")" -eq 2 ] &&
        grep -q "event=member_directory_written.*era=3" "$site_work/balancer-1.log"
}
run_check "restored store: logs tell of each restore" restore_is_logged
stop_packet_site
