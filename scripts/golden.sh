# Sourced by ./run after the build: golden files only; --accept rewrites them.
if [ "${1:-}" = --accept ]; then
    export BRIARDRUM_ACCEPT=1
fi
exec "$build/tests/briardrum_tests" --test-case='session:*,golden:*'
