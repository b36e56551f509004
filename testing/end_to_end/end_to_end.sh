#!/usr/bin/env bash
# Over real processes and sockets: 200 concurrent streams and 40 bookings while
# one agent is killed, one target is drained and a declaration is changed.
# Every answer is whole and its own or a numbered error; no payment twice; the
# change is in force at every entry.
set -euo pipefail
stack_token_us=2000
stack_slots=128
source scripts/stack
trap stack_stop EXIT
stack_start
stack_await
stack_ctl apply samples/demo/declarations.ini
build/testing/driver/demo "$caller_1" "$caller_2" >/dev/null
build/testing/end_to_end/end_to_end_driver "$caller_1" "$caller_2" \
  "$port_ledger" >"$stack_dir/driver.out" 2>&1 &
driver=$!
until grep -q running "$stack_dir/driver.out"; do sleep 0.01; done
kill -KILL "$pid_gpu_1"
stack_ctl query 'drain target ledger-1'
stack_ctl query 'set model helper load_ms=250'
stack_ctl query 'restore target ledger-1'
stack_node gpu-1 # the platform starts it again
status=0
wait "$driver" || status=$?
cat "$stack_dir/driver.out"
[ "$status" -eq 0 ] || { echo "FAILED: the driver ended with $status"; exit 1; }
for operator in "$operator_1" "$operator_2"; do
  build/apps/limpetctl/limpetctl --entry "127.0.0.1:$operator" \
    --token operator-secret query 'show models where load_ms = 250' |
    grep -q '^helper ' || { echo "FAILED: the change is not in force"; exit 1; }
done
# Nothing was committed beyond its memory, and a drain ends with status 0.
for port in "$port_engine_1" "$port_engine_2"; do
  build/testing/driver/fetch "$port" /overcommits | grep -q ':0' ||
    { echo "FAILED: memory was overcommitted"; exit 1; }
done
kill -TERM "$pid_entry_2"
status=0
wait "$pid_entry_2" || status=$?
[ "$status" -eq 0 ] || { echo "FAILED: a drained entry ended with $status"; exit 1; }
echo "end to end: ok"
