# Sourced by scripts/test.sh: one check for each fuzz target.
. scripts/fuzz_targets.sh
run_check "fuzz targets build" build_fuzz
for name in "${fuzz_names[@]}"; do
    run_check "fuzz $name" run_fuzz "$name"
done
