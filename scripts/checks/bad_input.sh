# Sourced by scripts/test.sh: bad input at every socket of real daemons. They
# stay alive and healthy, count it by kind, keep their logs short, and go on
# serving.
. scripts/lib/deployment.sh

bad_input_ports=$((31400 + $$ % 5 * 200))
BRIARDRUM_PORTS=$bad_input_ports \
    BRIARDRUM_SERVICE_PORTS=$((bad_input_ports + 180)) \
    choose_deployment salinecarri
servers=(1 1)

# The PROXY v2 signature and 12 bytes of addresses: 127.0.0.1:9 calls
# 127.0.0.1:1, which is no service's address.
proxy_signature='\r\n\r\n\0\r\nQUIT\n'
proxy_addresses='\0\x0c\x7f\0\0\x01\x7f\0\0\x01\0\x09\0\x01'

# send_datagram PORT FORMAT: the bytes that printf makes of the format. They
# go through a file, since printf writes line by line.
send_datagram() {
    printf "$2" >"$work/datagram"
    cat "$work/datagram" >"/dev/udp/127.0.0.1/$1"
}
send_random() { head -c "$2" /dev/urandom >"/dev/udp/127.0.0.1/$1"; }

send_bad_datagrams() {
    local size
    send_datagram "$1" 'x'
    send_datagram "$1" "$proxy_signature"
    for size in 2 27 28 60 200 1400; do
        send_random "$1" "$size"
    done
    send_random "$1" 3000
}

# rises_to AT_LEAST PORT METRIC
rises_to() { [ "$(metric "$2" "$3")" -ge "$1" ]; }

# counts_bad_datagrams UDP_PORT HTTP_PORT SOCKET
counts_bad_datagrams() {
    send_bad_datagrams "$1"
    wait_for "malformed datagrams" rises_to 5 "$2" \
        "${3}_errors_total{kind=\"malformed\"}" &&
        wait_for "an oversize datagram" rises_to 1 "$2" "${3}_oversize_total"
}

counts_proxy_faults() {
    send_datagram "$1" "$proxy_signature\\x11\\x12$proxy_addresses-"
    wait_for "a wrong version" rises_to 1 "$2" \
        'packets_errors_total{kind="wrong_version"}' || return
    local before
    before=$(metric "$2" 'packets_errors_total{kind="malformed"}')
    send_datagram "$1" "$proxy_signature\\x21\\x12$proxy_addresses"
    wait_for "a header without a payload" rises_to $((before + 1)) "$2" \
        'packets_errors_total{kind="malformed"}'
}

counts_unknown_service() {
    send_datagram "$1" \
        "$proxy_signature\\x21\\x12$proxy_addresses\\x40\\x01\\x12\\x34"
    wait_for "an unknown service" rises_to 1 "$2" \
        "$unknown_service_metric"
}

# counts_bad_frames CONTROL_PORT HTTP_PORT
counts_bad_frames() {
    local n
    for n in 1 2 3; do
        printf '\0\0\0\x05hello' >"/dev/tcp/127.0.0.1/$1"
        printf '\xff\xff\xff\xff' >"/dev/tcp/127.0.0.1/$1"
        printf '\0\0\0\0' >"/dev/tcp/127.0.0.1/$1"
    done
    wait_for "bad frames" rises_to 9 "$2" control_bad_frames_total
}

send_flood() {
    local n
    for ((n = 0; n < 2000; ++n)); do
        printf flood >"/dev/udp/127.0.0.1/$1"
    done
}

# log_is_short PORT LOG: through a flood, at most ten lines of one event per
# interval of a second, so twenty in a second of the wall clock; the rest is
# told as a number.
log_is_short() {
    send_flood "$1"
    wait_for "the count of what was kept out" \
        grep -q 'event=log_suppressed name=datagram_refused' "$2" || return
    grep event=datagram_refused "$2" | awk '
        { second = substr($1, 1, 24); if (++lines[second] > 20) bad = 1 }
        END { exit bad }'
}

balancer_packets=$(balancer_port 0)
balancer_http=$((balancer_packets + 3))
agent_server=$(agent_port 0 0)
agent_http=$((agent_server + 3))
unknown_service_metric='balancer_unknown_service'

run_check "bad input: deployment starts" start_deployment
run_check "bad input: packets from the fabric" \
    counts_bad_datagrams "$balancer_packets" "$balancer_http" packets
run_check "bad input: PROXY version and payload" \
    counts_proxy_faults "$balancer_packets" "$balancer_http"
run_check "bad input: unknown service" \
    counts_unknown_service "$balancer_packets" "$balancer_http"
run_check "bad input: a balancer's envelopes" \
    counts_bad_datagrams $((balancer_packets + 1)) "$balancer_http" data
run_check "bad input: an agent's envelopes" \
    counts_bad_datagrams $((agent_server + 1)) "$agent_http" data
run_check "bad input: a balancer's control frames" \
    counts_bad_frames $((balancer_packets + 2)) "$balancer_http"
run_check "bad input: an agent's control frames" \
    counts_bad_frames $((agent_server + 2)) "$agent_http"
run_check "bad input: a flood leaves the log short" \
    log_is_short "$balancer_packets" "$work/balancer-0.log"
run_check "bad input: the balancer is healthy" is_healthy "$balancer_http"
run_check "bad input: the agent is healthy" is_healthy "$agent_http"
run_check "bad input: requests are still served" \
    call 0 lookups --count 5 --sessions 2

stop_deployment
