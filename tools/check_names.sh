#!/bin/bash
# Finds retired words: those of retired_names.txt, in the sources and pages, prints "file:line: word -> use TERM"
# for each and exits 1 if there are any, 2 if a list is malformed. Files named in retired_names_exceptions.txt are
# passed over.
#
#   tools/check_names.sh            the files that git tracks
#   tools/check_names.sh FILE...    just these, by their paths from the root
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2

readonly words_file=tools/retired_names.txt
readonly exceptions_file=tools/retired_names_exceptions.txt
readonly separator=" => "
# What was said at the time stays as it was said; the two lists name the words themselves.
readonly always_passed_over='^(journal/|docs/incidents/|tools/retired_names(_exceptions)?\.txt$)'

malformed() { # file, line number, what is wrong
    echo "$1:$2: $3" >&2
    exit 2
}

is_comment() {
    [[ "$1" =~ ^[[:space:]]*(#|$) ]]
}

# Splits a line of a list into "left" and "right"; both are needed.
split_line() { # file, line number, line
    left=${3%%"$separator"*}
    right=${3#*"$separator"}
    [[ "$3" == *"$separator"* && -n "$left" && -n "${right// /}" ]] || malformed "$1" "$2" "not LEFT${separator}RIGHT: $3"
}

read_exceptions() {
    local lines i
    mapfile -t lines <"$exceptions_file" || exit 2
    for i in "${!lines[@]}"; do
        is_comment "${lines[i]}" && continue
        split_line "$exceptions_file" $((i + 1)) "${lines[i]}"
        compgen -G "$left" >/dev/null || malformed "$exceptions_file" $((i + 1)) "no such file: $left"
        excepted+=("$left")
    done
}

is_passed_over() {
    local pattern
    [[ "$1" =~ $always_passed_over ]] && return 0
    for pattern in ${excepted[@]+"${excepted[@]}"}; do
        # shellcheck disable=SC2053 # exceptions are patterns
        [[ "$1" == $pattern ]] && return 0
    done
    return 1
}

# Says where a word stands; 0 if it does somewhere.
search() { # line number of the list, extended regular expression, term
    local matches status
    matches=$(grep -HnoIE -e "$2" -- "${searched[@]}")
    status=$?
    [ "$status" -le 1 ] || malformed "$words_file" "$1" "grep does not take this expression: $2"
    [ "$status" -eq 0 ] || return 1
    while IFS= read -r match; do
        echo "${match%%:*}:$(cut -d: -f2 <<<"$match"): $(cut -d: -f3- <<<"$match") -> use $3"
    done <<<"$matches"
}

excepted=()
read_exceptions

if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files src include apps tests tools examples docs CMakeLists.txt README.md)
fi
searched=()
for file in "${files[@]}"; do
    # One that git knows of and that is gone from the folder has nothing to search.
    [ -f "$file" ] || continue
    is_passed_over "$file" || searched+=("$file")
done
if [ "${#searched[@]}" -eq 0 ]; then
    echo "no files to search" >&2
    exit 2
fi

mapfile -t words <"$words_file" || exit 2
found=0
for i in "${!words[@]}"; do
    is_comment "${words[i]}" && continue
    split_line "$words_file" $((i + 1)) "${words[i]}"
    search $((i + 1)) "$left" "$right" && found=1
done
exit $found
