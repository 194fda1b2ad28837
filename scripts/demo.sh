#!/usr/bin/env bash
# Runs all programs as separate processes on loopback and checks the records of
# callers and upstreams.  The last line of the output is a JSON object.
set -euo pipefail
cd "$(dirname "$0")/.."
PY=${PY:-.venv/bin/python}
export PYTHONPATH=$PWD
RUN=${RUN:-var/demo}
REQUESTS=2100
FLOWS=200
ENTRIES=6
KEEPERS=3

rm -rf "$RUN"
mkdir -p "$RUN/settings" "$RUN/records" "$RUN/logs"

declare -A PID
STARTED=0

stop_all() {
  for name in "${!PID[@]}"; do
    kill -TERM "${PID[$name]}" 2>/dev/null || true
  done
  for name in "${!PID[@]}"; do
    wait "${PID[$name]}" 2>/dev/null || true
  done
}
trap stop_all EXIT

start() { # start NAME PROGRAM ARGUMENT...
  local name=$1
  shift
  "$PY" -m "foxtailworks.$1" "${@:2}" >"$RUN/logs/$name.log" 2>&1 &
  PID[$name]=$!
  STARTED=$((STARTED + 1))
}

await() { # await NAME: waits until the process logs event=ready
  for _ in $(seq 200); do
    grep -q "event=ready" "$RUN/logs/$1.log" && return 0
    sleep 0.05
  done
  echo "$1 did not become ready" >&2
  tail -5 "$RUN/logs/$1.log" >&2
  return 1
}

zone() { # zone NUMBER: cycles through three availability zones
  local zones=(sofia-a sofia-b sofia-c)
  echo "${zones[$((($1 - 1) % 3))]}"
}

keeper_addresses() {
  local item=()
  for k in $(seq $KEEPERS); do item+=("\"127.10.1.$k:7500\""); done
  (IFS=,; echo "${item[*]}")
}

first_keepers() {
  local item=()
  for k in $(seq $KEEPERS); do item+=("\"keeper-$k\": \"127.10.1.$k:7500\""); done
  (IFS=,; echo "${item[*]}")
}

write_settings() {
  for k in $(seq $KEEPERS); do
    cat >"$RUN/settings/keeper-$k.json" <<JSON
{ // keeper $k of the demo
  keeper: "keeper-$k", zone: "$(zone "$k")",
  listen_address: "127.10.1.$k:7500", data_folder: "../data/keeper-$k",
  first_keepers: {$(first_keepers)},
}
JSON
  done
  for i in $(seq $ENTRIES); do
    cat >"$RUN/settings/entry-$i.json" <<JSON
{ // entry host $i of the demo
  host: "entry-$i", zone: "$(zone "$i")", region: "sofia",
  peer_address: "127.10.0.$i:7100", operator_address: "127.10.0.$i:7200",
  fabric_address: "127.10.0.$i:7300", announce_address: "127.10.0.$i:7400",
  fabrics: ["127.10.2.1:7600"],
  keepers: [$(keeper_addresses)],
  seeds: ["127.10.0.1:7100", "127.10.0.2:7100", "127.10.0.3:7100"],
}
JSON
  done
  cat >"$RUN/settings/operator.json" <<JSON
{ // foxtailctl of the demo
  keepers: [$(keeper_addresses)],
  entries: [$(for i in $(seq $ENTRIES); do printf '"127.10.0.%s:7200",' "$i"; done)],
}
JSON
  write_contract 4000 >"$RUN/settings/balans.json"
  write_contract 5000 >"$RUN/settings/balans-edited.json"
}

write_contract() { # write_contract RATE
  cat <<JSON
{ // Zadruga Balans
  customer: "balans",
  services: [
    {name: "slot-desk", kind: "request", address: "127.10.3.1:5683",
     limits: {requests_per_s: $1, in_flight: 2000},
     classes: [
       {name: "confirm", methods: ["POST"], path_prefix: "/", priority: "high"},
       {name: "lookup", methods: ["GET"], path_prefix: "/"},
     ]},
    {name: "letter-vault", kind: "request", address: "127.10.3.2:5683",
     limits: {requests_per_s: $1, in_flight: 2000}},
    {name: "calls", kind: "flow", address: "127.10.3.3:5683"},
  ],
}
JSON
}

ENTRY_OPTIONS=()
for i in $(seq $ENTRIES); do
  ENTRY_OPTIONS+=(--entry "127.10.0.$i:7400")
done

upstream() { # upstream SERVICE NUMBER KIND [OPTION...]
  local service=$1 number=$2 kind=$3
  shift 3
  local name="$service-$number"
  local third
  case $service in slot-desk) third=4 ;; letter-vault) third=5 ;; *) third=6 ;; esac
  start "$name" standin upstream "$name" "$service" \
    --customer balans --zone "$(zone "$number")" --kind "$kind" \
    --address "127.10.$third.$number:9000" "${ENTRY_OPTIONS[@]}" \
    --records "$RUN/records/runs-$name.jsonl" "$@"
}

ctl() { "$PY" -m foxtailworks.ctl --settings "$RUN/settings/operator.json" "$@"; }

write_settings
start fabric standin fabric --inner 127.10.2.1:7600 --seed 1 \
  --service 127.10.3.1:5683 --service 127.10.3.2:5683 --service 127.10.3.3:5683
for k in $(seq $KEEPERS); do start "keeper-$k" keeper --settings "$RUN/settings/keeper-$k.json"; done
for i in $(seq $ENTRIES); do start "entry-$i" entry --settings "$RUN/settings/entry-$i.json"; done
for n in 1 2 3; do
  upstream slot-desk $n request --slots 2
  upstream calls $n flow
done
for n in 1 2; do upstream letter-vault $n request --slots 2 --body-bytes 5000; done
for name in "${!PID[@]}"; do await "$name"; done

ctl contract put "$RUN/settings/balans.json" --base 0 --wait-in-force 10 --json >"$RUN/put.json"
VERSION=$("$PY" -c 'import json, sys; print(json.load(sys.stdin)["version"])' <"$RUN/put.json")
sleep 3

CALLS=()
start calls-desk standin caller requests --target 127.10.3.1:5683 \
  --service slot-desk --name desk --count 1500 --rate 110 --post-share 0.5 \
  --records "$RUN/records/calls-desk.jsonl" --seed 11
start calls-vault standin caller requests --target 127.10.3.2:5683 \
  --service letter-vault --name vault --count 600 --rate 45 --post-share 0 \
  --body-bytes 5000 --records "$RUN/records/calls-vault.jsonl" --seed 12
start flows standin caller flows --target 127.10.3.3:5683 --service calls \
  --name call --count $FLOWS --seconds 20 \
  --records "$RUN/records/flows-calls.jsonl" --seed 13
CALLS=(calls-desk calls-vault flows)

sleep 4
echo "# an upstream of each kind drains, one of each is added"
kill -USR1 "${PID[slot-desk-1]}" "${PID[calls-1]}"
upstream slot-desk 4 request --slots 2
upstream calls 4 flow
sleep 3
echo "# an entry host is stopped gracefully"
kill -TERM "${PID[entry-2]}"
sleep 2
echo "# the contract is edited"
ctl contract put "$RUN/settings/balans-edited.json" --base "$VERSION" --wait-in-force 10

for name in "${CALLS[@]}"; do
  wait "${PID[$name]}" || echo "$name ended with an error" >&2
  unset "PID[$name]"
done
ctl status || true
"$PY" -m foxtailworks.bench.judge "$RUN/records" --requests $REQUESTS \
  --flows $FLOWS --processes $STARTED
