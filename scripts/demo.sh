#!/usr/bin/env bash
# Runs the demo: starts a store, 18 upstreams and 18 daemons on loopback, runs "loadgen demo"
# against them, and then terminates each process by its id.
set -euo pipefail
cd "$(dirname "$0")/.."

go build -o bin/ ./cmd/...
dir=$(mktemp -d)

# cleanup terminates all processes, kills those that are still running after 10 s, and deletes the
# logs unless KEEP is set.
cleanup() {
	local pids
	pids=$(jobs -pr)
	[ -z "$pids" ] || kill -TERM $pids 2>/dev/null || true
	for _ in $(seq 100); do
		[ -n "$(jobs -pr)" ] || break
		sleep 0.1
	done
	pids=$(jobs -pr)
	[ -z "$pids" ] || kill -KILL $pids 2>/dev/null || true
	wait
	if [ "${KEEP:-}" ]; then
		echo "logs are in $dir" >&2
	else
		rm -rf "$dir"
	fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM

bin/loadgen layout --dir "$dir" --bin bin
while read -r name command; do
	# Word splitting of the command is intended; no word contains a space.
	$command </dev/null >"$dir/$name.log" 2>&1 &
	echo $! >"$dir/$name.pid"
done <"$dir/processes"

# Runs in the background, because bash handles a signal only after a foreground command ends.
bin/loadgen demo --dir "$dir" --bin bin &
wait $!
