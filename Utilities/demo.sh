#!/usr/bin/env bash
# Demonstrates the whole path: three daemons in three data centres, a change,
# and load on two daemons while the third one is killed and restarted.
set -uo pipefail
bin=$1
work=$(mktemp -d)
net=127.$((16 + RANDOM % 200)).$((RANDOM % 250))
declare -A pid
cleanup() {
  kill "${pid[@]}" 2>/dev/null
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT

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
  echo "demo: timeout: $2"
  exit 1
}

tool() { "$bin/buckthorncart" --daemon "$net.1:7402" "$@"; }
start_daemon() {
  start "daemon-$1" "$bin/buckthorncartd" --peer-address "$net.$1:7400" \
    --callers "$net.$1:7401" --operators "$net.$1:7402" \
    --backend-server "$net.$1:7403" --data-centre "nl-west-$2" \
    --peer "$net.1:7400,$net.2:7400,$net.3:7400" --platform "http://$net.250:7500"
}

echo "starting the platform stand-in, three daemons and three backend servers"
start platform "$bin/platform_standin" --listen "$net.250:7500"
n=0
for zone in a b c; do
  n=$((n + 1))
  start_daemon "$n" "$zone"
  start "backend-$n" "$bin/backend_server_standin" --listen "$net.$n:7403" \
    --daemon "$net.$n:7402" --service catalogus
done
wait_for '[ "$(tool daemons 2>/dev/null | grep -c ready)" = 3 ]' "three backend servers ready"
tool daemons

echo "an operator creates a service and a route"
tool apply -e 'create service catalogus
create route proofs path=/proofs service=catalogus' || exit 1
tool in-force --wait 10 || exit 1

echo "callers send 200 requests a second for 4 s to daemons 1 and 2; after 1 s daemon 3 is killed"
"$bin/load_tool" --target "$net.1:7401,$net.2:7401" --path /proofs/7 \
  --rate 200 --seconds 4 > "$work/load.json" &
load=$!
sleep 1
kill -9 "${pid[daemon-3]}"
wait "${pid[daemon-3]}" 2>/dev/null
sleep 1
echo "daemon 3 is restarted"
start_daemon 3 c
wait "$load"
cat "$work/load.json"

# Prints the first value of a field; the entries of data centres, which come
# later, contain fields of the same names.
field() { grep -o "\"$1\":[0-9]*" "$2" | head -n 1 | cut -d: -f2; }
wait_for '[ "$(tool daemons 2>/dev/null | grep -c "alive.*ready")" = 3 ]' "three daemons alive and ready"
tool in-force --wait 10
tool --format json in-force --wait 10 > "$work/in_force.json"
whole=$(field whole "$work/load.json")
sent=$(field sent "$work/load.json")
in_force=$(field in_force "$work/in_force.json")
daemons=$(field daemons "$work/in_force.json")
version=$(field version "$work/in_force.json")
echo "demo: $whole of $sent requests answered whole, version $version in force on $in_force of $daemons daemons"
[ "$whole" = "$sent" ] && [ "$sent" -gt 0 ] && [ "$in_force" = "$daemons" ]
