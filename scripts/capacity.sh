#!/usr/bin/env bash
# Repeats the measurements of docs/CAPACITY.md: the reducers alone at five fleet sizes, nodes over
# loopback sockets, and real entries beside a stand-in platform. About ten minutes. Needs curl.
#
#   scripts/capacity.sh [reducers | sockets | entries]...
set -eu
cd "$(dirname "$0")/.."
PARTS=${*:-reducers sockets entries}
cargo build --release --locked --quiet -p guavausher-bench -p guavausher-node \
  -p guavausher-standins -p guavactl --bins
BIN="${CARGO_TARGET_DIR:-target}/release"
PLATFORM=127.0.0.1:26900
export GUAVAUSHER_KEY=capacity-key-of-this-run
export GUAVAUSHER_PLATFORM=$PLATFORM
export GUAVAUSHER_AUTHOR=capacity
DOMAINS=(altan-ulgii tolgoit bayanzurkh)
ENTRY_SIZES=${ENTRY_SIZES:-9 45}
SOCKET_SIZES=${SOCKET_SIZES:-9 45 90 190 380}
REST_SECONDS=${REST_SECONDS:-30}
DIR=$(mktemp -d)
PIDS=()

stop_all() {
  if [ ${#PIDS[@]} -gt 0 ]; then
    disown -a
    kill -KILL "${PIDS[@]}" 2>/dev/null
  fi
  PIDS=()
}
trap 'stop_all; [ -n "${CAPACITY_KEEP:-}" ] || rm -rf "$DIR"' EXIT

until_true() { # seconds, command...
  local end=$((SECONDS + $1))
  shift
  while ! "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -ge "$end" ] && return 1
    sleep 0.2
  done
}

start_entry() { # number
  local domain=${DOMAINS[$((($1 - 1) % 3))]} peers=127.0.0.1:$((27000 + $1))
  curl -sf -X POST "http://$PLATFORM/instances" -H 'content-type: application/json' -d "{\"name\":\
\"entry-$1\",\"address\":\"$peers\",\"domain\":\"$domain\",\"kind\":\"entry\",\"leaving\":false,\
\"incarnation\":$1}" >/dev/null
  "$BIN/guavausher-entry" --name "entry-$1" --domain "$domain" --incarnation "$1" --threads 1 \
    --listen "127.0.0.1:$((26000 + $1))" --peer-listen "$peers" \
    --admin-listen "127.0.0.1:$((28000 + $1))" >"$DIR/entry-$1.log" 2>&1 &
  PIDS+=($!)
}

all_ready() { # entries
  local i
  for ((i = 1; i <= $1; i++)); do
    curl -sf "http://127.0.0.1:$((28000 + i))/readyz" || return 1
  done
}

all_in_force() { # entries, generation
  local i
  for ((i = 1; i <= $1; i++)); do
    curl -s "http://127.0.0.1:$((28000 + i))/metrics" | grep -q "config_generation $2$" || return 1
  done
}

metric() { # entries, name without its prefix: the sum over all entries
  local i
  for ((i = 1; i <= $1; i++)); do
    curl -s "http://127.0.0.1:$((28000 + i))/metrics"
  done | awk -v name="guavausher_$2" '$1 == name { sum += $2 } END { printf "%d", sum }'
}

peer_bytes() { echo $(($(metric "$1" peer_sent_bytes_total) + $(metric "$1" peer_received_bytes_total))); }
ticks() { # processor time of all entries in hundredths of a second
  local pid
  for pid in "${PIDS[@]:1}"; do cat "/proc/$pid/stat"; done |
    awk '{ sub(/.*\) /, ""); sum += $12 + $13 } END { printf "%d", sum }'
}
resident() { # most resident kilobytes of one entry
  local pid
  for pid in "${PIDS[@]:1}"; do grep VmRSS "/proc/$pid/status"; done |
    awk '{ if ($2 > most) most = $2 } END { printf "%d", most }'
}
calls() { # all calls of the store so far
  curl -s "http://$PLATFORM/standin/calls" | grep -o ':[0-9]*' | tr -d : |
    awk '{ sum += $1 } END { printf "%d", sum }'
}
kinds() { # calls of each kind so far
  curl -s "http://$PLATFORM/standin/calls" | tr -d '{}"' | tr ',:' '\n ' | grep -v ' 0$'
}
by_kind() { # seconds since the last count of kinds
  kinds | awk -v t="$1" 'NR == FNR { old[$1] = $2; next }
    $2 > old[$1] { printf " %s %.2f", $1, ($2 - old[$1]) / t }' "$DIR/kinds" -
}
faults() { curl -sf -X POST "http://$PLATFORM/standin/faults" -H 'content-type: application/json' -d "$1"; }
rate() { awk -v n="$1" -v t="$2" -v d="${3:-1}" 'BEGIN { printf "%.2f", n / t / d }'; }
millis() { date +%s%3N; }

apply() { # generation that it becomes
  sed "s/rate = 20, concurrency = 20/rate = $((20 + $1)), concurrency = 20/" \
    examples/erdene.toml >"$DIR/erdene.toml"
  "$BIN/guavactl" apply --base examples/base.toml --overlay "$DIR/erdene.toml" >"$DIR/apply" 2>&1
}

entries() { # number
  local n=$1 i before_bytes before_ticks before_calls began
  "$BIN/standin-platform" --listen $PLATFORM >"$DIR/platform.log" 2>&1 &
  PIDS=($!)
  until_true 10 curl -sf "http://$PLATFORM/instances"
  for ((i = 1; i <= n; i++)); do start_entry "$i"; done
  apply 1
  until_true 60 all_ready "$n" || echo "not all of $n entries became ready"
  sleep 10
  kinds >"$DIR/kinds"
  before_bytes=$(peer_bytes "$n") before_ticks=$(ticks) before_calls=$(calls)
  sleep $REST_SECONDS
  local bytes=$(($(peer_bytes "$n") - before_bytes)) used=$(($(ticks) - before_ticks))
  local rest=$(($(calls) - before_calls))
  echo "$n entries at rest: $(rate "$bytes" $REST_SECONDS "$n") B/s to and from peers," \
    "$(rate "$used" $REST_SECONDS "$n")% of a core, at most $(resident) KB resident an entry;" \
    "$(rate $rest $REST_SECONDS) store calls/s in all:" \
    "$(by_kind $REST_SECONDS)"
  before_calls=$(calls) began=$(millis)
  apply 2
  until_true 30 all_in_force "$n" 2 || echo "generation 2 is not in force everywhere"
  echo "$n entries: a change is in force everywhere after $(($(millis) - began)) ms" \
    "(with the checks, one curl an entry); $(($(calls) - before_calls)) store calls"
  faults '{"fail":true}' >/dev/null
  kinds >"$DIR/kinds"
  before_calls=$(calls)
  sleep 20
  echo "$n entries in an outage: $(rate $(($(calls) - before_calls)) 20) store calls/s refused:" \
    "$(by_kind 20)"
  faults '{}' >/dev/null
  local second most=0 now last
  last=$(calls)
  for second in 1 2 3 4 5 6 7 8 9 10; do
    sleep 1
    now=$(calls)
    [ $((now - last)) -gt $most ] && most=$((now - last))
    last=$now
  done
  echo "$n entries after the outage: at most $most store calls in one second"
  stop_all
}

for part in $PARTS; do
  case $part in
  reducers) "$BIN/peering_cost" ;;
  sockets) for n in $SOCKET_SIZES; do "$BIN/peering_cost" --sockets "$n"; done ;;
  entries) for n in $ENTRY_SIZES; do entries "$n"; done ;;
  *) echo "unknown part $part; see the head of this script" >&2 && exit 2 ;;
  esac
done
