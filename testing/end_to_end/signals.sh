#!/usr/bin/env bash
# SIGHUP ends neither an entry nor an agent, and a repeated SIGTERM cuts no
# answer off.
set -euo pipefail
stack_token_us=10000
source scripts/stack
trap stack_stop EXIT
stack_start
stack_await
stack_ctl apply samples/demo/declarations.ini
build/testing/driver/demo "$caller_1" "$caller_2" >/dev/null
kill -HUP "$pid_entry_1" "$pid_gpu_1"
sleep 0.2
for node in entry_1 gpu_1; do
  name=pid_$node
  kill -0 "${!name}" || { echo "FAILED: SIGHUP ended $node"; exit 1; }
done
# A stream of two seconds, and two stops that overlap.
body='{"model":"helper","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"x"}]}'
exec 3<>"/dev/tcp/127.0.0.1/$caller_1"
printf 'POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nAuthorization: Bearer clerk-token-1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
  "${#body}" "$body" >&3
read -r -t 10 line <&3
[[ $line == *" 200 "* ]] || { echo "FAILED: the stream began with $line"; exit 1; }
kill -TERM "$pid_entry_1"
sleep 0.1
kill -TERM "$pid_entry_1"
timeout 20 cat <&3 >"$stack_dir/answer" || true
grep -q 'data: \[DONE\]' "$stack_dir/answer" ||
  { echo "FAILED: a repeated SIGTERM cut the answer off"; exit 1; }
exec 3>&-
status=0
wait "$pid_entry_1" || status=$?
[ "$status" -eq 0 ] || { echo "FAILED: the entry ended with $status"; exit 1; }
echo "signals: ok"
