#!/usr/bin/env bash
# Runs the whole path on loopback ports: platform, nine entries over three failure domains and
# Erdene's upstreams; then checks it step by step. Needs bash and curl.
set -u
cd "$(dirname "$0")/.."
cargo build --workspace --bins --locked --quiet || exit 1

BIN="${CARGO_TARGET_DIR:-target}/debug"
DIR=$(mktemp -d)
PLATFORM=127.0.0.1:20900
export GUAVAUSHER_KEY=demo-key-of-this-deployment
export GUAVAUSHER_PLATFORM=$PLATFORM
export GUAVAUSHER_AUTHOR=demo
DOMAINS=(altan-ulgii tolgoit bayanzurkh)
PIDS=()
PASSED=0
FAILED=0

stop_all() {
  [ ${#PIDS[@]} -gt 0 ] && kill "${PIDS[@]}" 2>/dev/null
  for _ in $(seq 80); do
    jobs -rp | grep -q . || break
    sleep 0.1
  done
  jobs -rp | xargs -r kill -KILL 2>/dev/null
  wait 2>/dev/null
  if [ -n "${DEMO_KEEP:-}" ]; then echo "kept $DIR"; else rm -rf "$DIR"; fi
}
trap stop_all EXIT

start() { # name, command...
  local name=$1
  shift
  "$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
  PIDS+=($!)
  eval "PID_${name//-/_}=$!"
}

check() { # what, status of the check
  if [ "$2" -eq 0 ]; then
    PASSED=$((PASSED + 1))
    printf '%-62s ok\n' "$1"
  else
    FAILED=$((FAILED + 1))
    printf '%-62s FAILED\n' "$1"
  fi
}

until_true() { # seconds, command...
  local end=$((SECONDS + $1))
  shift
  while ! "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -ge "$end" ] && return 1
    sleep 0.1
  done
}

register() { # name, address, domain, kind, incarnation
  curl -sf -X POST "http://$PLATFORM/instances" -H 'content-type: application/json' \
    -d "{\"name\":\"$1\",\"address\":\"$2\",\"domain\":\"$3\",\"kind\":\"$4\",\"leaving\":false,\"incarnation\":$5}" >/dev/null
}

entry() { echo "127.0.0.1:$((20000 + $1))"; }
post() { # entry number, path, body, curl flags...
  local to=$1 path=$2 body=$3
  shift 3
  curl -s --max-time 30 -X POST "http://$(entry "$to")$path" -H 'x-workspace: families' \
    -H 'content-type: application/json' -d "$body" "$@"
}
runs() { # key: runs over all three kiosks
  local total=0 count
  for port in 21101 21102 21103; do
    count=$(curl -s "http://127.0.0.1:$port/standin/runs" | grep -o "\"$1\":[0-9]*" | cut -d: -f2)
    total=$((total + ${count:-0}))
  done
  echo "$total"
}
ready() { curl -sf "http://127.0.0.1:$((20200 + $1))/readyz"; }
all_in_force() { # generation
  for i in 1 2 3 4 5 6 7 8 9; do
    curl -s "http://127.0.0.1:$((20200 + i))/metrics" | grep -q "config_generation $1$" || return 1
  done
}

start platform "$BIN/standin-platform" --listen $PLATFORM
until_true 10 curl -sf "http://$PLATFORM/instances"
for i in 1 2 3 4 5 6 7 8 9 10; do
  port=$((21000 + i))
  start "verse-$i" "$BIN/standin-engine" --listen 127.0.0.1:$port --incarnation 1 --token-ms 20 --fencing
  register "verse-$i" 127.0.0.1:$port "${DOMAINS[$(((i - 1) % 3))]}" upstream 1
done
for i in 1 2 3; do
  port=$((21100 + i))
  start "kiosk-$i" "$BIN/standin-service" --listen 127.0.0.1:$port --incarnation 1 --deduplicate
  register "kiosk-$i" 127.0.0.1:$port "${DOMAINS[$((i - 1))]}" upstream 1
done
for i in 1 2 3 4 5 6 7 8 9; do
  domain=${DOMAINS[$(((i - 1) % 3))]}
  register "entry-$i" "127.0.0.1:$((20100 + i))" "$domain" entry "$i"
  start "entry-$i" "$BIN/guavausher-entry" --name "entry-$i" --domain "$domain" --incarnation "$i" \
    --listen "$(entry "$i")" --peer-listen "127.0.0.1:$((20100 + i))" \
    --admin-listen "127.0.0.1:$((20200 + i))"
  start "controller-$i" "$BIN/guavausher-controller" --name "entry-$i" --domain "$domain" \
    --entry "127.0.0.1:$((20100 + i))" --controller-listen "127.0.0.1:$((20300 + i))"
done

echo "nine entries, ten engines, three kiosks; configuration from examples/"
"$BIN/guavactl" apply --base examples/base.toml --overlay examples/erdene.toml >"$DIR/apply.out" 2>&1
check "guavactl apply stores generation 1" $?
until_true 8 all_in_force 1
check "generation 1 is in force at all nine entries" $?
all_ready() { for i in 1 2 3 4 5 6 7 8 9; do ready "$i" || return 1; done; }
until_true 5 all_ready
check "all nine entries are ready" $?

post 1 /v1/verse '{"prompt":"a short verse for grandmother","max_tokens":40}' -N >"$DIR/verse" 2>&1
[ "$(grep -c '"token"' "$DIR/verse")" -eq 40 ] && grep -q 'event: done' "$DIR/verse"
check "a verse streams back, 40 tokens and done" $?

post 2 /v1/candle '{"candle":"white"}' -H 'idempotency-key: demo-1' >"$DIR/first"
grep -q '"receipt"' "$DIR/first"
check "a candle is paid through entry 2" $?
post 7 /v1/candle '{"candle":"white"}' -H 'idempotency-key: demo-1' >"$DIR/second"
cmp -s "$DIR/first" "$DIR/second" && [ "$(runs demo-1)" -eq 1 ]
check "sent again through entry 7: the stored answer, still one run" $?

code=$(post 3 /v1/unknown '{}' -o "$DIR/bad" -w '%{http_code}')
[ "$code" = 404 ] && grep -q '"verdict":"not-run"' "$DIR/bad"
check "an unknown path is refused as not run" $?

post 4 /v1/compilation '{"prompt":"a long prayer text","max_tokens":200}' -N >"$DIR/long" 2>&1 &
STREAM=$!
sleep 1.5
for i in 1 2 3 4 5 6 7 8 9 10; do
  running=$(curl -s "http://127.0.0.1:$((21000 + i))/load" | grep -o '"running":[0-9]*' | cut -d: -f2)
  [ "${running:-0}" -gt 0 ] && victim=$i
done
eval "kill -KILL \$PID_verse_${victim:-1}" 2>/dev/null
wait $STREAM
ids=$(grep -c '^id:' "$DIR/long")
unique=$(grep '^id:' "$DIR/long" | sort -u | wc -l)
[ "$ids" -eq 200 ] && [ "$unique" -eq 200 ] && grep -q 'event: done' "$DIR/long"
check "engine verse-${victim:-?} killed in mid-stream, all 200 tokens once" $?

change() { # generation, file: apply and wait until it is in force everywhere
  "$BIN/guavactl" apply --base examples/base.toml --overlay "$2" >"$DIR/apply-$1.out" 2>&1 &&
    until_true 8 all_in_force "$1"
}
rollout() { # faults, verdict: moves verses from v1 to v2 on two new engines
  for i in 11 12; do
    curl -sf -X POST "http://127.0.0.1:$((21000 + i))/standin/faults" -d "$1" >/dev/null
  done
  local deadline
  deadline=$(date -u -d "+$3 seconds" +%Y-%m-%dT%H:%M:%SZ)
  {
    cat examples/erdene.toml
    for i in 11 12; do
      printf '[upstreams.verse-%s]\nservice = "verse-scribe"\nversion = "v2"\n' "$i"
      printf 'address = "127.0.0.1:%s"\ndomain = "tolgoit"\nclass = "gpu-large"\n' $((21000 + i))
      printf 'market = "on-demand"\nslots = 64\n'
    done
    printf '[rollouts.verse-scribe]\nfrom = "v1"\nto = "v2"\nshare = 100\ndeadline = "%s"\n' "$deadline"
  } >"$DIR/rollout.toml"
  GENERATION=$((GENERATION + 1))
  change "$GENERATION" "$DIR/rollout.toml" || return 1
  "$BIN/guavactl" wait --rollout verse-scribe --timeout $(($3 + 10)) >"$DIR/wait.out" 2>&1
  "$BIN/guavactl" status --json >"$DIR/status.out" 2>&1
  grep -q "\"$2\"" "$DIR/status.out"
}

sed 's/rate = 20, concurrency = 20/rate = 200, concurrency = 200/' examples/erdene.toml >"$DIR/erdene.toml"
began=$SECONDS
change 2 "$DIR/erdene.toml"
check "generation 2 is in force at all entries within 8 s ($((SECONDS - began)) s)" $?

for i in 11 12; do
  port=$((21000 + i))
  start "verse-$i" "$BIN/standin-engine" --listen 127.0.0.1:$port --incarnation 1 --token-ms 20 \
    --fencing --serves v2
  register "verse-$i" 127.0.0.1:$port tolgoit upstream 1
done
{
  echo 'targets = ["127.0.0.1:20001", "127.0.0.1:20002", "127.0.0.1:20003", "127.0.0.1:20004", "127.0.0.1:20005", "127.0.0.1:20006", "127.0.0.1:20007", "127.0.0.1:20008", "127.0.0.1:20009"]'
  printf 'rate = 60.0\nduration = 70\nseed = 1\n'
  printf '[[requests]]\nweight = 1\npath = "/v1/verse"\nworkspace = "kiosks-east"\nwords = 20\nmax_tokens = 10\n'
} >"$DIR/load.toml"
start load "$BIN/guavausher-load" --scenario "$DIR/load.toml"
requests_of() { curl -s "http://127.0.0.1:$1/standin/runs" | grep -o ':' | wc -l; }
sleep 2
busiest=1
for i in 2 3 4 5 6 7 8 9 10; do
  [ "$(requests_of $((21000 + i)))" -gt "$(requests_of $((21000 + busiest)))" ] && busiest=$i
done
"$BIN/guavactl" drain "verse-$busiest" >"$DIR/drain.out" 2>&1
sleep 3
before=$(requests_of $((21000 + busiest)))
sleep 3
after=$(requests_of $((21000 + busiest)))
[ "$before" -gt 0 ] && [ "$after" -eq "$before" ]
check "drained engine verse-$busiest gets nothing new after 3 s ($before, $after)" $?
GENERATION=2
rollout '{"error_rate":500}' taken-back 40
check "a bad version is taken back ($(grep -o '"share":[0-9]*' "$DIR/status.out" | head -1))" $?
rollout '{"error_rate":0}' done 60
check "a good version takes over by its deadline" $?

echo "$PASSED passed, $FAILED failed"
[ "$FAILED" -eq 0 ]
