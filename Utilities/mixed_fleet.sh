#!/usr/bin/env bash
# Runs daemons of two builds in one fleet and checks that they work together.
#
#   Utilities/mixed_fleet.sh OLD_BIN NEW_BIN
#
# Daemons 1 and 2 are of the old build, 3 and 4 of the new one. Checks, in
# order: membership is complete on all; changes that either build accepts are in
# force on all; calls in both directions are answered; a rolling restart from old
# to new under load loses and repeats no request; a fleet of new daemons alone
# starts from the rows and snapshots that the old build wrote.
set -uo pipefail
if [ $# -ne 2 ]; then
  sed -n '2,11s/^# \{0,1\}//p' "$0"
  exit 2
fi
old=$1
new=$2
work=$(mktemp -d)
net=127.$((16 + RANDOM % 200)).$((RANDOM % 250))
declare -A pid
cleanup() {
  kill "${pid[@]}" 2> /dev/null
  wait 2> /dev/null
  rm -rf "$work"
}
trap cleanup EXIT

fail() {
  echo "mixed fleet: FAILED: $1"
  exit 1
}

start() {
  local name=$1
  shift
  "$@" > "$work/$name.out" 2> "$work/$name.log" &
  pid[$name]=$!
}

wait_for() {
  for _ in $(seq 300); do
    if eval "$1"; then return 0; fi
    sleep 0.1
  done
  fail "timeout: $2"
}

start_daemon() {
  BUCKTHORNCART_DECISION_TIMEOUT_MS=5000 start "daemon-$2" "$1/buckthorncartd" \
    --peer-address "$net.$2:7400" --callers "$net.$2:7401" \
    --operators "$net.$2:7402" --backend-server "$net.$2:7403" \
    --data-centre "nl-west-$((1 + $2 % 2))" --snapshot-every 2 \
    --peer "$net.1:7400,$net.2:7400,$net.3:7400,$net.4:7400" \
    --platform "http://$net.250:7500"
}

stop_daemon() {
  kill -TERM "${pid[daemon-$1]}"
  wait "${pid[daemon-$1]}"
  local status=$?
  [ "$status" = 0 ] || fail "daemon $1 ended with status $status after SIGTERM"
}

tool() { "$1/buckthorncart" --daemon "$net.$2:7402" "${@:3}"; }

# True when each daemon is ready and reports four daemons alive with ready backend
# servers.
complete() {
  for n in 1 2 3 4; do
    curl -sf "http://$net.$n:7402/ready" > /dev/null || return 1
    [ "$(tool "$new" "$n" daemons 2> /dev/null | grep -c "alive.*ready")" = 4 ] || return 1
  done
}

# Applies a statement on daemon $2 with the tool of build $1 and waits until
# every daemon holds the version.
apply() {
  tool "$1" "$2" apply -e "$3" > "$work/apply" 2>&1 || fail "apply on daemon $2: $(cat "$work/apply")"
  tool "$1" "$2" in-force --wait 10 > "$work/in_force" || fail "in force: $(cat "$work/in_force")"
  local held
  held=$(for n in 1 2 3 4; do tool "$1" "$n" metrics buckthorncart_configuration_version; done |
    awk '/configuration_version / { print $NF }' | sort -u | wc -l)
  [ "$held" = 1 ] || fail "daemons hold $held versions after a change on daemon $2"
  echo "change on daemon $2 in force on all four"
}

# Sends load to the daemons $1 and expects every request answered whole.
call() {
  "$new/load_tool" --target "$1" --path "$2" --rate 200 --seconds 2 > "$work/load.json"
  echo "callers at $1, path $2: $(cut -c1-90 "$work/load.json")"
  grep -q '"sent":400,"whole":400' "$work/load.json" ||
    grep -qE '"sent":([0-9]+),"whole":\1,' "$work/load.json" || fail "calls to $1"
}

start platform "$new/platform_standin" --listen "$net.250:7500"
for n in 1 2; do start_daemon "$old" "$n"; done
for n in 3 4; do start_daemon "$new" "$n"; done
for n in 1 2 3 4; do
  start "backend-$n" "$new/backend_server_standin" --listen "$net.$n:7403" --slots 64 \
    --daemon "$net.$n:7402" --service "$([ "$n" -lt 3 ] && echo on-old || echo on-new)"
done
wait_for complete "complete membership on all daemons"
echo "membership is complete on all four daemons"

apply "$old" 1 'create service on-old
create route old path=/old service=on-old'
apply "$new" 3 'create service on-new
create route new path=/new service=on-new'
apply "$old" 4 'create route orders path=/orders service=on-old repeatable=no'
apply "$new" 2 'create route releases path=/releases service=on-new repeatable=no'

call "$net.1:7401,$net.2:7401" /new
call "$net.3:7401,$net.4:7401" /old

echo "rolling restart of daemons 1 and 2 to the new build under load"
start load "$new/load_tool" --target "$net.1:7401,$net.2:7401,$net.3:7401,$net.4:7401" \
  --path /orders --method POST --key-prefix rolling- --rate 100 --seconds 60 --fail-over
sleep 1
for n in 1 2; do
  stop_daemon "$n"
  start_daemon "$new" "$n"
  wait_for complete "complete membership after the restart of daemon $n"
  sleep 1
done
kill -TERM "${pid[load]}"
wait "${pid[load]}"
echo "orders: $(cat "$work/load.out")"
grep -qE '"sent":([0-9]+),"whole":\1,"not_run":0,"unknown":0' "$work/load.out" || fail "orders lost"
repeated=$(for n in 1 2 3 4; do curl -s "http://$net.$n:7403/log"; done |
  grep -oE '"rolling-[0-9]+":[0-9]+' | sort | awk -F: '{ n[$1] += $2 } END { for (k in n) if (n[k] > 1) c++; print c + 0 }')
[ "$repeated" = 0 ] || fail "$repeated orders ran more than once"
echo "no order ran more than once"

echo "a fleet of the old build writes rows and snapshots, one of the new build reads them"
for n in 1 2 3 4; do stop_daemon "$n"; done
kill "${pid[platform]}"
wait "${pid[platform]}"
start platform "$new/platform_standin" --listen "$net.250:7500"
for n in 1 2 3 4; do start_daemon "$old" "$n"; done
wait_for complete "complete membership of the old build"
apply "$old" 1 'create service on-old; create service on-new'
# A start reads the snapshot object if it lacks 16 versions or more.
for i in $(seq 20); do
  apply "$old" $((1 + i % 4)) "create route r$i path=/r$i split=on-old:90,on-new:10" > /dev/null
done
apply "$old" 2 'create rule r service=on-old class=bulk action=allow'
version=22
# Sums a counter over the daemons, read with the tool of build $1.
sum_of() {
  for n in 1 2 3 4; do tool "$1" "$n" metrics --raw; done |
    awk -v name="buckthorncart_$2" '$1 == name { sum += $2 } END { print sum + 0 }'
}
wait_for '[ "$(sum_of "$old" configuration_snapshots_written_total)" -ge 9 ]' "snapshots of the old build"
tool "$old" 1 show routes | sed 's/ on [0-9.:]*$//' > "$work/before"
for n in 1 2 3 4; do stop_daemon "$n"; done
for n in 1 2 3 4; do start_daemon "$new" "$n"; done
wait_for complete "complete membership of the new build"
tool "$new" 2 show routes | sed 's/ on [0-9.:]*$//' > "$work/after"
[ "$(wc -l < "$work/before")" -gt 20 ] || fail "no routes before the restart"
diff "$work/before" "$work/after" || fail "routes differ after the restart"
taken=$(sum_of "$new" configuration_versions_taken_total)
bad=$(sum_of "$new" configuration_snapshot_objects_bad_total)
echo "four new daemons took $taken versions to hold version $version, $bad bad snapshots"
[ "$bad" = 0 ] || fail "a snapshot of the old build could not be read"
# A fleet that starts from the rows of changes takes all versions on each daemon.
[ "$taken" -le $((4 * (version - 16))) ] || fail "the new build did not start from a snapshot"
apply "$new" 1 'change route r1 path=/changed'
call "$net.1:7401,$net.2:7401,$net.3:7401,$net.4:7401" /changed
echo "mixed fleet: passed"
