# Sourced by ./run after the build: a short fixed run of every fuzz target.
. scripts/fuzz_targets.sh
build_fuzz
for name in "${fuzz_names[@]}"; do
    echo "fuzzing $name: $fuzz_runs runs, seed $fuzz_seed"
    run_fuzz "$name" 2>&1 | tail -n 2
done
