#!/usr/bin/env bash
# Generates the pages of docs/reference from a running daemon: its metrics and
# its groups of settings.
#
#   Utilities/make_reference.sh build/release/bin
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1
out=docs/reference
net=127.$((16 + RANDOM % 200)).$((RANDOM % 250))
"$bin/buckthorncartd" --peer-address "$net.1:7400" --callers "$net.1:7401" \
  --operators "$net.1:7402" --backend-server "$net.1:7403" \
  --data-centre reference 2> /dev/null &
daemon=$!
trap 'kill "$daemon" 2> /dev/null' EXIT
for _ in $(seq 100); do
  page=$("$bin/buckthorncart" --daemon "$net.1:7402" metrics --raw 2> /dev/null) && break
  sleep 0.1
done

cat > "$out/metrics.md" << 'HEAD'
# metrics

**Name.** `GET /metrics`: counters and gauges of one daemon.

**What it does.** Gives every counter and gauge in the Prometheus text format,
version 0.0.4, each with HELP and TYPE. Counters end in `_total` and start at 0
with the process. The unit ends the explanation.

**Form.** `GET http://OPERATORS/metrics`, or `buckthorncart metrics [PREFIX]`.

**Errors.** None of its own.

**Example.** `buckthorncart metrics buckthorncart_calls`

Made by `Utilities/make_reference.sh`; a test compares it with a running daemon.

| metric | type | explanation and unit |
|---|---|---|
HEAD
awk '/^# HELP/ { name = $3; sub(/^# HELP [^ ]+ /, ""); help = $0 }
     /^# TYPE/ { printf "| `%s` | %s | %s |\n", name, $4, help }' \
  <<< "$page" >> "$out/metrics.md"

# Prints the page of one group of settings.
settings_page() {
  local group=$1 what=$2 example=$3
  cat << HEAD
# settings: ${group,,}

**Name.** Flags of \`buckthorncartd\` in the group $group.

**What it does.** $what

**Form.** \`--flag VALUE\`, or the environment variable; the flag wins. A value
outside its range is refused at the start.

| flag | unit or form, range | default | variable | meaning |
|---|---|---|---|---|
HEAD
  "$bin/buckthorncartd" --help | awk -v "group=$group:" '
    function finish() {
      if (entry == "") return
      match(entry, /\(Env:[^)]*\)/)
      head = substr(entry, 1, RSTART - 1)
      env = substr(entry, RSTART + 5, RLENGTH - 6)
      meaning = substr(entry, RSTART + RLENGTH)
      gsub(/^ +| +$/, "", meaning)
      gsub(/ +/, " ", meaning)
      gsub(/\|/, "\\|", meaning)
      gsub(/^ +| +$/, "", head)
      split(head, words, " ")
      form = substr(head, length(words[1]) + 2)
      preset = "none"
      if (sub(/ *REQUIRED/, "", form)) preset = "required"
      if (match(form, /=.*$/)) {
        preset = "`" substr(form, RSTART + 1) "`"
        form = substr(form, 1, RSTART - 1)
      }
      sub(/:UINT in/, " in", form)
      sub(/:INT in/, " in", form)
      sub(/ \[none\]/, "", form)
      if (preset == "``") preset = "none"
      printf "| `%s` | %s | %s | `%s` | %s |\n", words[1], form, preset, env, meaning
      entry = ""
    }
    /^[A-Z][A-Za-z]*:$/ { finish(); active = ($0 == group); next }
    /^$/ { finish(); next }
    active && /^  --check/ { finish(); next }
    active && /^  -/ { finish(); entry = $0; next }
    active && entry != "" { entry = entry " " $0 }
    END { finish() }'
  cat << TAIL

**Exit statuses.** 2 when a value is refused.

**Errors.** \`invalid-setting\`, naming the flag, what was expected and what to do.

**Example.** \`$example\`

Made by \`Utilities/make_reference.sh\`; a test compares it with \`--help\`.
TAIL
}

settings_page Addresses \
  "Tells the daemon where it stands and whom it talks to. Keep --operators on loopback or on an operators' network." \
  "buckthorncartd --operators 127.0.0.1:7402 …" > "$out/settings-addresses.md"
settings_page Configuration \
  "Sets how changes are decided and how versions spread." \
  "buckthorncartd --spreading push …" > "$out/settings-configuration.md"
settings_page Membership \
  "Sets how fast a daemon that fails is noticed." \
  "buckthorncartd --probe-period-ms 500 …" > "$out/settings-membership.md"
settings_page Requests \
  "Sets the limits on callers' requests, retries and queues." \
  "buckthorncartd --body-limit 4194304 …" > "$out/settings-requests.md"
settings_page Platform \
  "Sets which platform keeps what must last, and how long it is waited for." \
  "buckthorncartd --platform http://127.0.0.1:7500 …" > "$out/settings-platform.md"
settings_page Process \
  "Sets the log and what the process may use. No log file is written." \
  "buckthorncartd --log-format json …" > "$out/settings-process.md"
