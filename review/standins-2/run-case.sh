#!/bin/sh
# Runs a case of this review: run-case.sh CASE FOLDER. Writes FOLDER/record.txt. The programs and the stand-ins end
# with this script; their files lie in a temporary folder.
set -u
root="$(cd "$(dirname "$0")/../.." && pwd)"
program="$root/target/review-2-build/debug/review-cases-2"
record="$2/record.txt"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/haremount" ]; then
    echo "not built: the deploy file's build and review/build-2.sh come first" | tee "$record"
    exit 2
fi
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM
ln -s "$root/target" "$folder/target"
cd "$folder" || exit 2
timeout -k 2 115 "$program" "$1" >"$record" 2>errors.txt
status=$?
case "$status" in
    0 | 1) ;;
    *)
        cat errors.txt >>"$record"
        status=2
        ;;
esac
cat "$record"
exit "$status"
