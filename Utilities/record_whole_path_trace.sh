#!/usr/bin/env bash
# Records a trace of the whole path at daemon 1 in the given file.
set -euo pipefail
bin=$1
out=$2
pids=()
cleanup() { kill "${pids[@]}" 2>/dev/null || true; }
trap cleanup EXIT

start() {
  "$@" >/dev/null 2>&1 &
  pids+=($!)
}

start "$bin/platform_standin" --listen 127.8.0.250:7500
for n in 1 2 3; do
  trace=()
  [ "$n" = 1 ] && trace=(--trace "$out")
  start "$bin/buckthorncartd" --peer-address "127.8.0.$n:7400" \
    --callers "127.8.0.$n:7401" --operators "127.8.0.$n:7402" \
    --backend-server "127.8.0.$n:7403" --data-centre "nl-west-$n" \
    --peer 127.8.0.1:7400,127.8.0.2:7400,127.8.0.3:7400 \
    --platform http://127.8.0.250:7500 "${trace[@]}"
  [ "$n" = 1 ] || start "$bin/backend_server_standin" \
    --listen "127.8.0.$n:7403" --daemon "127.8.0.$n:7402" --service catalogus
done
tool=("$bin/buckthorncart" --daemon 127.8.0.1:7402)
until [ "$("${tool[@]}" daemons 2>/dev/null | grep -c ready)" = 2 ]; do sleep 0.1; done
"${tool[@]}" apply -e 'create service catalogus
create route proofs path=/proofs service=catalogus'
"${tool[@]}" in-force --wait 5
"$bin/load_tool" --target 127.8.0.1:7401 --path /proofs/1 --rate 20 --seconds 1
