#!/usr/bin/env bash
# Runs a small fleet on loopback and checks its main guarantees. It starts a
# platform stand-in, two pools of targets and three daemons as separate
# processes, stops them all at the end, and exits with 0 if every check passed.
set -euo pipefail
cd "$(dirname "$0")/.."
program=$PWD/bin/rhubarbdrift
work=$(mktemp -d)
pids=()
failed=0

finish() {
  local p
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

# start NAME COMMAND... runs a command in the background and stores its process ID
# in pid_NAME.
start() {
  local name=$1
  shift
  "$program" "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=("$!")
  printf -v "pid_$name" %s "$!"
}

seen() { echo "seen: $*"; }
missed() {
  echo "NOT seen: $*"
  failed=1
}

# await SECONDS COMMAND... repeats a command until it succeeds, and fails after the
# given time.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# status_of URL KEY prints the HTTP status code of a request with the API key.
status_of() { curl -s -o /dev/null -w '%{http_code}' -H "X-Api-Key: $2" "$1"; }
has_status() { [ "$(status_of "$1" "$2")" = "$3" ]; }

new_key() {
  "$program" key >"$work/$1.key"
  sed -n 's/^key=//p' "$work/$1.key"
}
digest_of() { sed -n 's/^digest=//p' "$work/$1.key"; }

apply() { # apply EDIT plans an edit and confirms the plan
  "$program" plan --admin 127.0.0.1:18082 --out "$work/plan.json" "$1"
  "$program" confirm --admin 127.0.0.1:18082 "$work/plan.json"
}

RHUBARBDRIFT_CREDENTIAL=$(new_key operator)
export RHUBARBDRIFT_CREDENTIAL
depots=$(new_key depots)
bakers=$(new_key bakers)
kiosks=$(new_key kiosks)

echo "== starting the platform stand-in, 8 targets and 3 daemons"
start platform platform --listen 127.0.0.1:17000 --lag 500ms
targets=""
for i in 1 2 3 4 5; do
  start "ledger$i" target --listen "127.0.0.1:1910$i" --name "ledger-$i" --slots 6 --work 4ms
  targets+="{\"id\":\"ledger-$i\",\"address\":\"127.0.0.1:1910$i\",\"region\":\"north\",\"domain\":\"north-$([ $((i % 2)) = 0 ] && echo a || echo b)\",\"slots\":6},"
done
images=""
for i in 1 2 3; do
  start "archive$i" target --listen "127.0.0.1:1920$i" --name "archive-$i" --slots 6 --work 8ms
  images+="{\"id\":\"archive-$i\",\"address\":\"127.0.0.1:1920$i\",\"region\":\"north\",\"domain\":\"north-a\",\"slots\":6},"
done
for i in 1 2 3; do
  cat >"$work/entry-$i.json" <<JSON
{
  "host": "entry-$i", "region": "north", "domain": "north-$([ $i = 2 ] && echo b || echo a)", "cell": "north-1",
  "regions": ["north"], "platform": "http://127.0.0.1:17000",
  "peers": ["127.0.0.1:18181", "127.0.0.1:18281", "127.0.0.1:18381"],
  "listen": {"callers": "127.0.0.1:18${i/1/0}80", "peers": "127.0.0.1:18${i}81", "admin": "127.0.0.1:18${i/1/0}82"},
  "operators": [{"name": "demo", "digest": "$(digest_of operator)"}],
  "shards": 8, "drain": 1000,
}
JSON
  "$program" check "$work/entry-$i.json" >/dev/null
  curl -s -o /dev/null -X PUT -d "{\"id\":\"entry-$i\",\"region\":\"north\",\"domain\":\"north-a\",\"address\":\"127.0.0.1:18${i}81\"}" "http://127.0.0.1:17000/hosts/entry-$i" || true
  start "entry$i" daemon "$work/entry-$i.json"
done
entries=(127.0.0.1:18080 127.0.0.1:18280 127.0.0.1:18380)
await 10 curl -sf http://127.0.0.1:18082/live || { missed "the first daemon answers"; exit 1; }

echo "== an edit, its plan and the confirmation"
cat >"$work/edit.json" <<JSON
{"set": {
  "customers": [
    {"id": "depots", "rate": 150, "burst": 60, "keys": [{"id": "k1", "digest": "$(digest_of depots)"}]},
    {"id": "bakers", "rate": 80, "burst": 40, "keys": [{"id": "k1", "digest": "$(digest_of bakers)"}]},
    {"id": "kiosks", "rate": 20, "burst": 10, "keys": [{"id": "k1", "digest": "$(digest_of kiosks)"}]},
  ],
  "pools": [
    {"id": "ledger", "floor": 0.6, "targets": [$targets]},
    {"id": "archive", "floor": 0.6, "targets": [$images]},
  ],
  "routes": [
    {"id": "weights", "prefix": "/weights", "pool": "ledger", "deadline": 4000},
    {"id": "payouts", "prefix": "/payouts", "pool": "ledger", "repeat": "never", "deadline": 4000},
    {"id": "certificates", "prefix": "/certificates", "pool": "archive", "deadline": 8000},
  ],
}}
JSON
apply "$work/edit.json"
serving() { for e in "${entries[@]}"; do has_status "http://$e/weights" "$depots" 200 || return 1; done; }
if await 15 serving; then seen "the configuration is in force on all three daemons"; else missed "all daemons serve"; fi

echo "== load of three customers through three daemons; one at several times its rate"
cat >"$work/load.json" <<JSON
{"entries": ["127.0.0.1:18080", "127.0.0.1:18280", "127.0.0.1:18380"], "time": 12000,
 "customers": [
  {"id": "depots", "key": "$depots", "rate": 100, "path": "/weights", "size": 2000},
  {"id": "bakers", "key": "$bakers", "rate": 50, "path": "/certificates", "size": 50000},
  {"id": "kiosks", "key": "$kiosks", "rate": 100, "path": "/weights", "size": 500},
 ]}
JSON
(
  sleep 2
  curl -s -o /dev/null -X PUT -d '{"slow":800,"health":"good"}' http://127.0.0.1:19101/control
) &
pids+=("$!")
"$program" load --plan "$work/load.json" >"$work/table.out" &
table=$!
ejected() { "$program" status --admin "$1" >"$work/status.out" && grep -qE "^ledger-1 .*(slow|failing) answers" "$work/status.out"; }
if await 12 ejected 127.0.0.1:18082; then seen "the slow target ledger-1 is ejected although its health endpoint says good"; else missed "ejection of ledger-1"; fi
if wait "$table"; then seen "every whole answer was the caller's own"; else missed "own answers"; fi
curl -s -o /dev/null -X PUT -d '{}' http://127.0.0.1:19101/control
cat "$work/table.out"
grep -hE 'event="target (ejected|returns)"' "$work"/entry*.log || true
# column CUSTOMER NAME prints the value of a column in the load table.
column() { awk -v c="$1" -v n="$2" 'NR == 1 { for (i = 1; i <= NF; i++) at[$i] = i } $1 == c { print $at[n] }' "$work/table.out"; }
served=$(($(column depots whole) + $(column bakers whole) + $(column kiosks whole)))
if [ "$served" -ge 1000 ]; then seen "$served requests served through three daemons"; else missed "1000 requests served: $served"; fi
if [ "$(column kiosks whole)" -le $((20 * 12 + 10)) ]; then seen "kiosks, at five times its rate, got no more than its rate and burst: $(column kiosks whole)"; else missed "the limit of kiosks"; fi
if [ "$(column bakers refused)" = 0 ]; then seen "bakers, within its rate, was never refused"; else missed "bakers was refused $(column bakers refused) times"; fi

echo "== a payout, sent twice with the same idempotency key through two daemons"
pay() { curl -s -o /dev/null -w '%{http_code}' -X POST -H "X-Api-Key: $depots" -H "Idempotency-Key: payout-1" -H "Rhubarbdrift-Request: payout-1" -d 10 "http://$1/payouts"; }
first=$(pay 127.0.0.1:18080)
second=$(pay 127.0.0.1:18280)
if [ "$first" = 200 ] && [ "$second" = 409 ]; then seen "a payout ran once: first $first, repeat $second"; else missed "payout once: first $first, repeat $second"; fi

echo "== withdrawing the key of kiosks"
echo '{"withdraw": [{"customer": "kiosks", "key": "k1"}]}' >"$work/withdraw.json"
apply "$work/withdraw.json"
stopped() { for e in "${entries[@]}"; do has_status "http://$e/weights" "$kiosks" 401 || return 1; done; }
if await 5 stopped; then seen "the withdrawn key stopped on all daemons"; else missed "the withdrawn key stops"; fi

echo "== a planned stop of entry-3 under load"
cat >"$work/stop.json" <<JSON
{"entries": ["127.0.0.1:18080", "127.0.0.1:18380"], "time": 4000,
 "customers": [{"id": "depots", "key": "$depots", "rate": 100, "path": "/weights", "size": 2000}]}
JSON
"$program" load --plan "$work/stop.json" >"$work/table.out" &
load=$!
sleep 1
kill -TERM "$pid_entry3"
code=0
wait "$pid_entry3" || code=$?
wait "$load" || true
cat "$work/table.out"
if [ "$code" = 0 ] && [ "$(column depots broken)" = 0 ] && [ "$(column depots unknown)" = 0 ]; then
  seen "the planned stop of entry-3 cut off no request, exit code 0"
else
  missed "planned stop: exit code $code"
fi

"$program" status --admin 127.0.0.1:18082
"$program" audit --admin 127.0.0.1:18082 --limit 1
[ "$failed" = 0 ] && echo "all promises seen"
exit "$failed"
