#!/bin/bash
# Finds the words of retired_names.txt, which must no longer be used, in the sources and documentation. Prints
# "file:line: word -> use TERM" for each and exits 1 if there are any, 2 if one of the lists is malformed. Files that
# retired_names_exceptions.txt names are not searched.
#
#   tools/check_names.sh            searches the files that git tracks
#   tools/check_names.sh FILE...    searches only these files, given by their paths from the root
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2

readonly words_file=tools/retired_names.txt
readonly exceptions_file=tools/retired_names_exceptions.txt
readonly separator=" => "
# The journal and the incident reports keep the wording of their time, and the two lists contain the words themselves.
readonly always_passed_over='^(journal/|docs/incidents/|tools/retired_names(_exceptions)?\.txt$)'

malformed() { # file, line number, error message
    echo "$1:$2: $3" >&2
    exit 2
}

is_comment() {
    [[ "$1" =~ ^[[:space:]]*(#|$) ]]
}

# Splits a line of a list at the separator into "left" and "right". Neither may be empty.
split_line() { # file, line number, line
    left=${3%%"$separator"*}
    right=${3#*"$separator"}
    [[ "$3" == *"$separator"* && -n "$left" && -n "${right// /}" ]] || malformed "$1" "$2" "expected LEFT${separator}RIGHT, got: $3"
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
        # shellcheck disable=SC2053 # exceptions are shell patterns
        [[ "$1" == $pattern ]] && return 0
    done
    return 1
}

# Prints each place in the searched files that matches an expression. Returns 0 if there is one.
search() { # line number in the list, extended regular expression, term to use instead
    local matches status
    matches=$(grep -HnoIE -e "$2" -- "${searched[@]}")
    status=$?
    [ "$status" -le 1 ] || malformed "$words_file" "$1" "grep rejects this expression: $2"
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
    # Skips files that git tracks but that have been deleted from the folder.
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
