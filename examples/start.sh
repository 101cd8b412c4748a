#!/usr/bin/env bash
# Starts an example deployment as separate processes on loopback addresses:
#   examples/start.sh board
# Output goes to a temporary folder. Ctrl-C stops everything gracefully.
set -euo pipefail
name=${1:?which deployment: board or agency}
here=$(cd "$(dirname "$0")" && pwd)
bin=$here/../bin
logs=$(mktemp -d)
pids=()

run() { # name, program and arguments
	local name=$1
	shift
	"$@" >"$logs/$name.log" 2>&1 &
	pids+=($!)
}

stop() {
	trap - INT TERM
	echo "stopping"
	kill -TERM "${pids[@]}" 2>/dev/null || true
	wait "${pids[@]}" 2>/dev/null || true
	exit 0
}
trap stop INT TERM

# The membership list knows every agent and router from the start.
members=()
while read -r kind process address _; do
	case $kind in
	engine | service) members+=(--member "agent,$process,$address:7300") ;;
	router) members+=(--member "router,$process,$address:7400") ;;
	esac
done <"$here/$name/processes.txt"

operators=
while read -r kind process address rest; do
	case $kind in
	'' | '#'*) continue ;;
	log) run log "$bin/merlinpost" standin log --listen "$address" --file "$logs/log.jsonl" ;;
	members) run members "$bin/merlinpost" standin members --listen "$address" "${members[@]}" ;;
	engine)
		read -r step flags <<<"$rest"
		# shellcheck disable=SC2086 # flags are words
		run "$process" "$bin/merlinpost" standin engine --listen "$address:7100" --name "$process" --step "$step" --loaded advisory@base $flags
		run "agent-$process" "$bin/merlinpost-agent" --config "$here/$name/agent-$process.toml"
		;;
	service)
		run "$process" "$bin/merlinpost" standin service --listen "$address:7100" --name "$process"
		run "agent-$process" "$bin/merlinpost-agent" --config "$here/$name/agent-$process.toml"
		;;
	router)
		run "$process" "$bin/merlinpost" router --config "$here/$name/$process.toml"
		operators=${operators:-$address:8081}
		echo "router $process: callers http://$address:8080, operators http://$address:8081"
		;;
	esac
done <"$here/$name/processes.txt"

export MERLINPOST_OPERATORS=$operators MERLINPOST_OPERATOR_KEY=example-operator
for _ in $(seq 100); do
	if "$bin/merlinpost" apply -f "$here/$name/resources.toml" >"$logs/apply.log" 2>&1; then
		break
	fi
	sleep 0.1
done
tail -n 1 "$logs/apply.log"
"$bin/merlinpost" status
echo "${#pids[@]} processes; logs in $logs; operator key example-operator; Ctrl-C stops"
wait
