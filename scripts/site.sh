# Sourced by ./run after the build: the packet programs on loopback beside the
# stand-in for the users' platform, with a balancer replaced, an agent killed, a
# server drained, a data centre evacuated, the store away and a new
# configuration. Prints what callers and servers saw; fails when a promise was
# broken.
. scripts/lib/packet_site.sh

seconds=15
if [ "${1:-}" = --seconds ] && [ -n "${2:-}" ]; then
    seconds=$2
elif [ $# -gt 0 ]; then
    echo "run: site takes --seconds N, not '$*'" >&2
    exit 64
fi
trap stop_packet_site EXIT
# The evacuation begins after a second and ends with the second third: a run of
# less than 10 s leaves no time between its deadline and its end.
evacuate_ms=5000
site_more_settings="bounds.evacuateMs=$evacuate_ms"
start_packet_site 3 6 --seconds "$seconds" --store-outage \
    --evacuate-ms "$evacuate_ms"
echo "three balancers, six agents, $seconds s of requests; logs in $site_work"
wait_for_site_ready || {
    echo "the balancers did not become ready" >&2
    exit 1
}
sleep 2
echo "replacing balancer-2, killing agent-4"
kill -TERM "${site_balancers[2]}"
kill -KILL "${site_agents[4]}"
start_site_process agent-4 briardrum-packet-agent
sleep 3
start_site_process balancer-2 briardrum-packet-balancer
verdict=0
wait_for_site_done || verdict=$?
grep -E 'site_evacuation|site_done' "$site_work/site.log"
[ "$verdict" -eq 0 ] && echo "every promise held" || echo "A PROMISE WAS BROKEN"
exit "$verdict"
