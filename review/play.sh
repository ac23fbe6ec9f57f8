# Plays the case $1 with the program of the deploy file; sourced by the scripts `run.sh` with the case's folder in $2.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$2/../.." || exit 2
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
standin=target/review/release/review-standin
if [ ! -x "${program%% *}" ] || [ ! -x "$standin" ]; then
    echo "the program or the stand-in is not built: run the build of deploy/system.toml, then review/build.sh"
    exit 2
fi
temporary=$(mktemp -d) || exit 2
"$standin" "$1" "$program" "$2" "$temporary" "${TROUBLE:-1}" &
player=$!
# Ends the processes of this run, by their ids, if the script is ended early.
trap 'kill -9 $player $(cat "$temporary/pids") 2>/dev/null; rm -rf "$temporary"; exit 2' HUP INT TERM
wait $player
code=$?
rm -rf "$temporary"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
