#!/usr/bin/env bash
# Measures what an entry adds: time to the first token, gap between tokens, processor time a
# request and memory a stream, against the same stand-in straight, in turns on loopback ports.
#
# Usage: scripts/latency.sh [ROUNDS]     (default 3; after the build 50 seconds and 25 a round)
set -euo pipefail
cd "$(dirname "$0")/.."
ROUNDS=${1:-3}
cargo build --release --workspace --bins --locked --quiet

BIN="${CARGO_TARGET_DIR:-target}/release"
SCENARIOS=crates/load/scenarios
DIR=$(mktemp -d)
PLATFORM=127.0.0.1:23900
ENGINE=127.0.0.1:23001
SERVICE=127.0.0.1:23101
ENTRY=127.0.0.1:23200
ADMIN=127.0.0.1:23202
TICKS=$(getconf CLK_TCK)
PIDS=()
export GUAVAUSHER_KEY=key-of-the-latency-run GUAVAUSHER_PLATFORM=$PLATFORM GUAVAUSHER_AUTHOR=latency

stop_all() {
  [ ${#PIDS[@]} -gt 0 ] && kill "${PIDS[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$DIR"
}
trap stop_all EXIT

start() { # name, command...
  local name=$1
  shift
  "$@" >"$DIR/$name.out" 2>"$DIR/$name.log" &
  PIDS+=($!)
  eval "PID_$name=$!"
}

until_true() { # seconds, command...
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || { echo "waited in vain for: $*" >&2; return 1; }
    sleep 0.1
  done
}

load() { # scenario, target, flags...
  local scenario=$1 target=$2
  shift 2
  "$BIN/guavausher-load" --scenario "$SCENARIOS/$scenario.toml" --targets "$target" --json "$@"
}

field() { # object or "", name; reads a line of JSON
  if [ -n "$1" ]; then
    sed -n "s/.*\"$1\":{[^}]*\"$2\":\([0-9.]*\).*/\1/p"
  else
    sed -n "s/.*\"$2\":\([0-9.]*\).*/\1/p"
  fi
}

median() { sort -g | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

resident_kb() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }

row() { # label, object, quantile
  local straight entry
  straight=$(field "$2" "$3" <"$DIR/straight" | median)
  entry=$(field "$2" "$3" <"$DIR/entry" | median)
  awk -v l="$1" -v s="$straight" -v e="$entry" \
    'BEGIN { printf "%-34s %10.2f %10.2f %10.2f\n", l, s, e, e - s }'
}

whole() { # file: every run without a failed, refused, cut, doubled or missing token
  awk '{ print }' "$1" | grep -vq '"refused":0,"unreached":0,"failed":0,"truncated":0,"reconnects":0,"duplicate":0,"missing":0' &&
    echo no || echo yes
}

start platform "$BIN/standin-platform" --listen $PLATFORM --call-ms 5
start engine "$BIN/standin-engine" --listen $ENGINE --incarnation 1 --token-ms 20 --slots 4096 --threads 2
start service "$BIN/standin-service" --listen $SERVICE --incarnation 1 --slots 4096 --deduplicate --threads 2
until_true 10 curl -sf "http://$PLATFORM/instances"
start entry "$BIN/guavausher-entry" --name entry-1 --domain altan-ulgii --incarnation 1 \
  --listen $ENTRY --peer-listen 127.0.0.1:23201 --admin-listen $ADMIN --log-level warn
"$BIN/guavactl" apply --base $SCENARIOS/latency-base.toml --overlay $SCENARIOS/latency-site.toml >"$DIR/apply"
until_true 20 curl -sf "http://$ADMIN/readyz"

load streams $ENGINE --duration 1 >/dev/null
load streams $ENTRY --duration 1 >/dev/null
for round in $(seq "$ROUNDS"); do
  load streams $ENGINE --seed "$round" >>"$DIR/straight"
  load streams $ENTRY --seed "$round" >>"$DIR/entry"
done

echo "about 200 streams at a time, medians of $ROUNDS rounds, milliseconds"
printf '%-34s %10s %10s %10s\n' '' straight entry added
row 'first token p50' first p50_ms
row 'first token p95' first p95_ms
row 'token gap p50' gap p50_ms
row 'token gap p95' gap p95_ms
echo "every stream whole: straight $(whole "$DIR/straight"), entry $(whole "$DIR/entry")"

echo
echo 'whole answers at 1000 a second for 10 s'
printf '%-34s %10s %10s %10s %14s\n' '' ok 'p50 ms' 'p95 ms' 'ok a cpu s'
cost() { # label, pid, target
  local before after ok
  load orders "$3" --duration 1 >/dev/null
  before=$(cpu_ticks "$2")
  load orders "$3" >"$DIR/orders" || true
  after=$(cpu_ticks "$2")
  ok=$(field '' ok <"$DIR/orders")
  awk -v l="$1" -v ok="$ok" -v p="$(field answer p50_ms <"$DIR/orders")" \
    -v q="$(field answer p95_ms <"$DIR/orders")" -v t=$((after - before)) -v hz="$TICKS" \
    'BEGIN { printf "%-34s %10d %10.2f %10.2f %14.0f\n", l, ok, p, q, t ? ok * hz / t : 0 }'
}
cost 'straight (processor of the service)' "$PID_service" $SERVICE
cost 'entry (processor of the entry)' "$PID_entry" $ENTRY

echo
echo 'most whole answers a second, 64 open, each process held to one core'
saturate() { # label, pid, target
  taskset -a -cp 0 "$2" >/dev/null
  load saturate "$3" --duration 1 >/dev/null
  local before after
  before=$(cpu_ticks "$2")
  load saturate "$3" >"$DIR/saturate"
  after=$(cpu_ticks "$2")
  taskset -a -cp "0-$(($(nproc) - 1))" "$2" >/dev/null
  awk -v l="$1" -v ok="$(field '' ok <"$DIR/saturate")" -v f="$(field '' failed <"$DIR/saturate")" \
    -v p="$(field answer p50_ms <"$DIR/saturate")" -v q="$(field answer p95_ms <"$DIR/saturate")" \
    -v t=$((after - before)) -v hz="$TICKS" \
    'BEGIN { printf "%-34s %10.0f a second, %d failed, p50 %.2f ms, p95 %.2f ms, %.1f cpu s\n", l, ok / 5, f, p, q, t / hz }'
}
saturate straight "$PID_service" $SERVICE
saturate entry "$PID_entry" $ENTRY

writes() { curl -sf "http://$PLATFORM/standin/calls" | field '' write; }
load paid $ENTRY --duration 1 >/dev/null || true
before=$(writes)
load paid $ENTRY >"$DIR/paid" || true
after=$(writes)
echo
echo "orders with a key at 200 a second for 10 s, ledger in a platform whose calls take 5 ms"
awk -v sent="$(field '' sent <"$DIR/paid")" -v ok="$(field '' ok <"$DIR/paid")" -v w=$((after - before)) \
  -v p="$(field answer p50_ms <"$DIR/paid")" -v q="$(field answer p95_ms <"$DIR/paid")" \
  'BEGIN { printf "%d of %d answered, p50 %.2f ms, p95 %.2f ms, %.2f writes an order\n", ok, sent, p, q, ok ? w / ok : 0 }'

echo
hold() { # streams; notes the entry's resident memory while they are open, and how many are
  load hold $ENTRY --rate "$1" >"$DIR/hold" &
  local run=$!
  sleep 4
  echo "$(resident_kb "$PID_entry") $(curl -sf "http://$ENGINE/load" | field '' running)" >"$DIR/held"
  wait $run
}
hold 200
read -r small few <"$DIR/held"
hold 1000
read -r large many <"$DIR/held"
echo "memory of the entry: $small KB with $few streams open, $large KB with $many"
awk -v a="$small" -v b="$large" -v f="$few" -v m="$many" \
  'BEGIN { if (m > f) printf "a stream: %.1f KB\n", (b - a) / (m - f) }'
echo "load of the machine (1, 5, 15 minutes): $(cut -d' ' -f1-3 /proc/loadavg) on $(nproc) processors"
