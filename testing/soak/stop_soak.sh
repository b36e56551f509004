#!/usr/bin/env bash
# Planned stops of real gateways and controllers under traffic, drawn from seeds.
#
#   testing/soak/stop_soak.sh [-g GATEWAYS] [-a ACTIONS] [-o] [-k] SEED [SEED...]
#
# -o sends no second SIGTERM to a gateway that drains. Prints one line a seed;
# logs of a seed with broken promises, with -k of every one, are kept under
# SOAK_LOGS (/tmp).
set -euo pipefail
export LC_ALL=C
cd "$(dirname "$0")/../.."
gateways=4 actions=18 once='' keep=''
while getopts g:a:ok option; do
  case $option in
  g) gateways=$OPTARG ;;
  a) actions=$OPTARG ;;
  o) once=1 ;;
  k) keep=1 ;;
  *) exit 2 ;;
  esac
done
shift $((OPTIND - 1))
grace_ms=3000
workers=(w1 w2 w3 e1 e2 e3)

tell() { echo "$EPOCHREALTIME $*" >&9; }

address_of() { # name: its own address of loopback, so that ports stay its own
  local number=${1:1}
  [ "${1:0:1}" = g ] || number=$((number + 200))
  echo "127.$((1 + $$ / 250 % 250)).$((1 + $$ % 250)).$number"
}

write_settings() { # name role retry_extra, then its own sections
  local ip
  ip=$(address_of "$1")
  cat >"$dir/$1.new" <<EOF
[instance]
role = $2
name = $1
data_centre = north
address = $ip
[link]
address = $ip:7104
[metrics]
address = $ip:7105
[store]
address = $store
wait_ms = 300
[retry]
extra = $3
[drain]
balancer_wait_ms = 600
grace_ms = $grace_ms
[log]
file = -
$4
EOF
  mv "$dir/$1.new" "$dir/$1.ini"
}

write_gateway() { # name retry_extra
  local ip
  ip=$(address_of "$1")
  write_settings "$1" gateway "$2" "[gateway]
callers = $ip:7101
readiness = $ip:7102
peers = $ip:7103
seeds = $(address_of g1):7103,$(address_of g2):7103"
}

# Starts a process again each time that it has ended, until the soak is over.
keep_running() { # name role
  local pid status
  while [ ! -e "$dir/over" ]; do
    rm -rf "$dir/$1.stopped"
    tell "$2" "$1" "$(address_of "$1"):7101"
    build/apps/limpetbridge/limpetbridge --settings "$dir/$1.ini" \
      >>"$dir/$1.log" 2>&1 9>&- &
    pid=$!
    echo $pid >"$dir/$1.pid"
    status=0
    wait $pid 2>/dev/null || status=$?
    rm "$dir/$1.pid"
    tell ended "$1" $status
    sleep 0.2
  done
}

serves() ( # name: it answers, so its signal handlers are installed
  exec 8<>"/dev/tcp/$(address_of "$1")/7105"
  printf 'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n' >&8
  read -r -t 2 line <&8 && [[ $line == *200* ]]
) 2>/dev/null

send() { # signal name
  local pid
  pid=$(cat "$dir/$2.pid" 2>/dev/null) && kill "-$1" "$pid" 2>/dev/null || true
}

stop() { # name: the first SIGTERM of a process that serves
  serves "$1" && mkdir "$dir/$1.stopped" 2>/dev/null || return 0
  tell stop "$1"
  send TERM "$1"
}

stop_again() { # name: a second SIGTERM to a gateway that drains, or to this one
  local name
  [ -z "$once" ] || return 0
  for name in "$1" "${gateway_names[@]}" ""; do
    [ ! -e "$dir/$name.stopped" ] || [ ! -e "$dir/$name.pid" ] || break
  done
  if [ -z "$name" ]; then
    name=$1
    stop "$name"
    sleep 0.1
    [ -e "$dir/$name.stopped" ] || return 0 # It was just starting.
  fi
  tell stop_again "$name"
  send TERM "$name"
}

draw() { drawn=$((RANDOM % $1)); }

act() { # one planned action; a fixed number of draws
  local kind name worker count i
  draw 12 && kind=$drawn
  draw "$gateways" && name=${gateway_names[$drawn]} i=$drawn
  draw "$gateways" && count=$((1 + drawn))
  draw ${#workers[@]} && worker=${workers[$drawn]}
  case $kind in
  0) stop "$name" ;;
  1) # several at once
    for ((; count > 0; --count, ++i)); do
      stop "${gateway_names[$((i % gateways))]}" &
    done ;;
  2) # one after the other
    for name in "${gateway_names[@]}"; do
      stop "$name"
      sleep 0.2
    done & ;;
  3 | 4) stop_again "$name" ;;
  5 | 6 | 7)
    write_gateway "$name" $((40 + count))
    tell hangup "$name"
    serves "$name" && send HUP "$name" ;;
  8 | 9) tell configure ;;
  10)
    if [ "$drained" = "$worker" ]; then drained=; else drained=$worker; fi
    for worker in "${workers[@]}"; do
      [ "$worker" = "$drained" ] && tell drain "$worker" || tell restore "$worker"
    done ;;
  11) stop "c$((1 + count % 3))" ;;
  esac
}

run_seed() { # seed: prints the counts; fails if a promise is broken
  local name number status=0 pids=() driver
  dir=$(mktemp -d "${SOAK_LOGS:-/tmp}/stop-soak-$1-XXXXXX")
  mkfifo "$dir/commands"
  exec 9<>"$dir/commands"
  build/testing/soak/stop_soak_driver "$1" $grace_ms \
    $((12 * gateways)) <"$dir/commands" >"$dir/driver.out" \
    2>"$dir/driver.log" &
  driver=$!
  until grep -qs ^store "$dir/driver.out"; do sleep 0.02; done
  store=$(sed -n 's/^store //p' "$dir/driver.out")
  gateway_names=() drained=
  for ((number = 1; number <= gateways; ++number)); do
    gateway_names+=("g$number")
    write_gateway "g$number" 50
    keep_running "g$number" gateway &
    pids+=($!)
  done
  for number in 1 2 3; do
    write_settings "c$number" controller 50 "[controller]
target = $(sed -n "s/^e$number //p" "$dir/driver.out")
[target]
service = models"
    keep_running "c$number" controller &
    pids+=($!)
  done
  for name in "${gateway_names[@]}" c1 c2 c3; do
    until serves "$name"; do sleep 0.05; done
  done
  RANDOM=$1
  for ((number = 0; number < actions; ++number)); do
    draw 400
    sleep "0.$(printf %03d $((drawn + 50)))"
    act
  done
  end_all
  wait "${pids[@]}"
  tell finish
  wait $driver || status=$?
  exec 9>&-
  echo "seed $1: $(tail -n 1 "$dir/driver.out")"
  if [ $status -ne 0 ]; then
    grep ^BROKEN "$dir/driver.out" | head -n 20 || true
    echo "  logs: $dir"
    return 1
  fi
  [ -n "$keep" ] || rm -r "$dir"
}

# Stops all processes, and kills what is left after the grace period.
end_all() {
  local name until=$((SECONDS + 3 + 2 * grace_ms / 1000))
  touch "$dir/over"
  while compgen -G "$dir/*.pid" >/dev/null && [ $SECONDS -lt $until ]; do
    for name in "${gateway_names[@]}" c1 c2 c3; do
      stop "$name" &
    done
    sleep 0.2
  done
  for name in "${gateway_names[@]}" c1 c2 c3; do send KILL "$name"; done
}

end_own() {
  local job left
  left=$(cat "${dir:-/nonexistent}"/*.pid 2>/dev/null) || true
  for job in $(jobs -pr) $left; do kill -KILL "$job" 2>/dev/null || true; done
}
trap end_own EXIT

status=0
for seed in "$@"; do run_seed "$seed" || status=1; done
exit $status
