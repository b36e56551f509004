#!/usr/bin/env bash
# Bad input of every kind is answered with a numbered error, and nothing ends.
set -euo pipefail
source scripts/stack
trap stack_stop EXIT
stack_start
stack_await
stack_ctl apply samples/demo/declarations.ini
build/testing/driver/demo "$caller_1" "$caller_2" >/dev/null
build/testing/end_to_end/bad_input_driver "$caller_1"

expect() { # expected words, then a command that must fail with them
  local words=$1 out
  shift
  if out=$("$@" 2>&1); then echo "FAILED: $* succeeded"; exit 1; fi
  [[ $out == *"$words"* ]] || { echo "FAILED: $*: $out"; exit 1; }
}
expect '4001 syntax_error: column 6' stack_ctl query 'show residents'
expect '4003 invalid_declaration' stack_ctl query 'declare model x memory_mb=-1'
expect '4004 unknown_name' stack_ctl query 'set model nothing memory_mb=1'
expect '4002 revision_conflict' stack_ctl query 'set model notes load_ms=9' --if-revision 77
expect '1002 unauthenticated' build/apps/limpetctl/limpetctl --entry "127.0.0.1:$operator_1" --token wrong query 'show models'
printf '[target]\nslotz = 3\n' >"$stack_dir/bad.ini"
expect 'bad.ini:2: [target] slotz is not a setting; nearest is target.slots' \
  build/apps/limpetbridge/limpetbridge --check "$stack_dir/bad.ini"
expect '5003 file_unreadable' build/apps/limpetbridge/limpetbridge --settings "$stack_dir/none.ini"
expect '5004 startup_failed' build/apps/limpetbridge/limpetbridge --settings "$stack_dir/entry-1.ini"
for node in entry_1 entry_2 gpu_1 gpu_2 ledger_1; do
  name=pid_$node
  kill -0 "${!name}" || { echo "FAILED: $node ended"; exit 1; }
done
build/testing/driver/demo "$caller_1" "$caller_2" >/dev/null
echo "bad input: ok"
