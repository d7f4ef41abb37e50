#!/usr/bin/env bash
# tidy_cached.sh BUILD FILE...: clang-tidy over each file, skipping those that
# passed before with the same input: the preprocessed source with all headers,
# the rules and the version of clang-tidy. Files that fail are not remembered.
set -uo pipefail
build=$1
shift
cache=${XDG_CACHE_HOME:-$HOME/.cache}/briardrum-tidy
mkdir -p "$cache"
rules=$(clang-tidy --version | cat - .clang-tidy | sha256sum)

# The preprocessed text, without the checkout's own path; comments stay, for
# they may hold NOLINT. A library header expands the date and the time, which
# would make every key a new one.
input_of() {
    clang++ -std=c++20 -E -C -Imodules -Imodules/wire/generated -I. \
        -DASIO_STANDALONE -DASIO_NO_DEPRECATED -DBRIARDRUM_VERSION='""' \
        -DBRIARDRUM_SOURCE_DIR='""' -Wno-builtin-macro-redefined \
        -D__DATE__='""' -D__TIME__='""' "$1" 2>/dev/null
}

status=0
for file in "$@"; do
    text=$(mktemp)
    key=
    if input_of "$file" >"$text"; then
        key=$( (echo "$rules $file" && sed "s|$PWD/||g" "$text") |
            sha256sum | cut -c1-64)
    fi
    rm -f "$text"
    [ -n "$key" ] && [ -e "$cache/$key" ] && continue
    if ! clang-tidy --quiet -p "$build" "$file"; then
        status=1
    elif [ -n "$key" ]; then
        : >"$cache/$key"
    fi
done
exit $status
