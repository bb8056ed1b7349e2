#!/usr/bin/env bash
# Compares the load balancing policies: six backend servers in one data centre,
# first with one that is ten times slower, then with each in turn killed and
# restarted. Prints one line of results for each case and policy.
# Usage: choice_bench.sh BIN [SECONDS] [RATE]
set -uo pipefail
bin=$1
seconds=${2:-8}
rate=${3:-1200}
servers=6
slots=3
work=$(mktemp -d)
net=
declare -A pid
end_all() {
  [ "${#pid[@]}" -gt 0 ] && kill "${pid[@]}" 2>/dev/null
  wait 2>/dev/null
  pid=()
}
trap 'end_all; rm -rf "$work"' EXIT

start() {
  local name=$1
  shift
  "$@" > "$work/$name.out" 2> "$work/$name.log" &
  pid[$name]=$!
}

wait_for() {
  for _ in $(seq 200); do
    if eval "$1"; then return 0; fi
    sleep 0.1
  done
  echo "choice_bench: timeout: $2"
  exit 1
}

tool() { "$bin/buckthorncart" --daemon "$net.1:7402" "$@"; }

start_server() {
  start "server-$1" "$bin/backend_server_standin" --listen "$net.$1:7403" \
    --daemon "$net.$1:7402" --service catalogus --slots "$slots" --time-us 10000
}

# Sends control command $2 to backend server $1.
control() {
  exec 3<> "/dev/tcp/$net.$1/7403"
  printf 'GET /control?%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$2" >&3
  cat <&3 > /dev/null
  exec 3>&-
}

start_fleet() {
  net=127.$((16 + RANDOM % 200)).$((RANDOM % 250))
  start platform "$bin/platform_standin" --listen "$net.250:7500"
  local peers
  peers=$(seq -s, -f "$net.%g:7400" 1 "$servers")
  for n in $(seq "$servers"); do
    start "daemon-$n" "$bin/buckthorncartd" --peer-address "$net.$n:7400" \
      --callers "$net.$n:7401" --operators "$net.$n:7402" \
      --backend-server "$net.$n:7403" --data-centre nl-west-a \
      --peer "$peers" --platform "http://$net.250:7500" --choice "$1"
    start_server "$n"
  done
  wait_for '[ "$(tool daemons 2>/dev/null | grep -c ready)" = $servers ]' "servers ready"
  tool apply -e 'create service catalogus
create route proofs path=/proofs service=catalogus timeout=1s' > /dev/null || exit 1
  tool in-force --wait 10 > /dev/null || exit 1
  sleep 3
}

churn() {
  local n=0
  local until=$((SECONDS + seconds))
  while [ "$SECONDS" -lt "$until" ]; do
    n=$((n % servers + 1))
    kill -9 "${pid[server-$n]}"
    wait "${pid[server-$n]}" 2> /dev/null
    sleep 0.3
    start_server "$n"
    sleep 0.7
  done
}

for case in slow churn; do
  for choice in two-random least-time uniform; do
    start_fleet "$choice"
    [ "$case" = slow ] && control "$servers" time-ms=100
    "$bin/load_tool" --target "$net.1:7401,$net.2:7401" --path /proofs/7 \
      --rate "$rate" --seconds "$seconds" > "$work/load.json" &
    load=$!
    [ "$case" = churn ] && churn
    wait "$load"
    echo "$case $choice $(cat "$work/load.json")"
    end_all
  done
done
