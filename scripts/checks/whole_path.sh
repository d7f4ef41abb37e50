# Sourced by scripts/test.sh: requests of every kind go the whole path, from
# caller through fabric, balancer and agent to the backend server and back,
# all in processes of their own; then one balancer is replaced under load.
. scripts/lib/deployment.sh

whole_path_ports=$((23000 + $$ % 40 * 200))
BRIARDRUM_PORTS=$whole_path_ports \
    BRIARDRUM_SERVICE_PORTS=$((whole_path_ports + 180)) \
    choose_deployment salinecarri
servers=(2 1)

run_check "whole path: deployment starts" start_deployment
for mode in lookups session stream confirm upload bill; do
    for service in 0 1; do
        run_check "whole path: $mode to ${services[service]}" \
            call "$service" "$mode" --count 5 --sessions 3 --interval-ms 20 \
            --timeout-ms 30000
    done
done

no_confirmation_ran_twice() {
    ! grep -h ' runs=' "$work"/server-*.log | grep -v 'runs=1$'
}
run_check "whole path: no confirmation ran twice" no_confirmation_ran_twice

stop_deployment
