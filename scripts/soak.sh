# Sourced by ./run after the build.
exec "$build/bench/briardrum_bench" soak "$@"
