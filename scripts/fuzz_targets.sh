# Sourced by scripts/fuzz.sh and scripts/checks/fuzz.sh: builds and runs the
# fuzz targets with a fixed seed and a fixed number of runs.
fuzz_build=${BRIARDRUM_FUZZ_BUILD:-build-fuzz}
fuzz_names=(coap envelope control frame proxy
    packet_head platform_settings store_answer)
fuzz_runs=20000
fuzz_seed=1
fuzz_bytes_max=4096

build_fuzz() {
    [ -f "$fuzz_build/build.ninja" ] ||
        cmake -S . -B "$fuzz_build" -G Ninja -DBRIARDRUM_FUZZ=ON \
            -DCMAKE_CXX_COMPILER=clang++ >/dev/null || return
    cmake --build "$fuzz_build" --target fuzz_targets
}

# New inputs go to a folder that is thrown away; a crash leaves its input in
# the build folder.
run_fuzz() {
    local name=$1 found status=0
    found=$(mktemp -d)
    "$fuzz_build/fuzz/${name}_fuzz" -seed="$fuzz_seed" -runs="$fuzz_runs" \
        -max_len="$fuzz_bytes_max" -artifact_prefix="$fuzz_build/${name}-" \
        "$found" "fuzz/corpus/$name" || status=$?
    rm -rf "$found"
    return "$status"
}
