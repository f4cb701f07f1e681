#!/usr/bin/env bash
# An end-to-end test with real processes: complete bodies, matching answers, a
# request that an endpoint does not answer, bad input, refused settings, and a
# daemon that is killed while its tasks run.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$1
base=${PATH_TEST_BASE_PORT:-18100}
# shellcheck source=meta/path_functions.sh
. meta/path_functions.sh

passed=0
pass() {
  passed=$((passed + 1))
  echo "ok: $1"
}
fail() {
  echo "FAILED: $1" >&2
  tail -n 30 "$work"/*.log >&2
  exit 1
}

start_everything
wait_for_both
$one set-class quotes kind=request within_ms=5000 keep=60
$one set-class settlements kind=batch within_ms=5000 keep=50
wait_until "n2 has the targets" has_class "$two" settlements
pass "a target set at one daemon takes effect at the other"
$two audit | grep -q "classes.settlements" ||
  fail "no audit entry for classes.settlements"
pass "the change is in the audit trail"

quote() {
  curl -s -H 'X-Daisyarch-Class: quotes' -H 'X-Daisyarch-Member: shop' "$@"
}
first_url="http://127.0.0.1:$((base + 10))"
second_url="http://127.0.0.1:$((base + 20))"

head -c 5000000 /dev/urandom >"$work/body"
quote -H 'Transfer-Encoding: chunked' --data-binary "@$work/body" \
  -o "$work/answer" "$first_url/"
cmp "$work/body" "$work/answer" ||
  fail "a chunked body of 5 MB came back changed"
pass "a chunked body of 5 MB comes back complete"

"$build/daisyarch_load" --rate=300 --seconds=2 --body_bytes=2000 \
  --daemon="127.0.0.1:$((base + 10)),127.0.0.1:$((base + 20))" \
  >"$work/load"
grep -q "wrong 0" "$work/load" ||
  fail "answers did not match their requests: $(cat "$work/load")"
pass "each answer matches its request"

curl -s "http://127.0.0.1:$((base + 2))/standin/silent/1"
for number in 1 2 3 4; do
  answer=$(quote -H 'X-Daisyarch-Deadline-Ms: 4000' -d "q$number" "$first_url/")
  [ "$answer" = "q$number" ] ||
    fail "request q$number with an unresponsive endpoint: $answer"
done
pass "every request is answered although an endpoint fails to answer one"

quote_with_key() {
  quote -o /dev/null -w '%{http_code}' -H 'X-Daisyarch-Once: k1' "$@"
}
[ "$(quote_with_key -d pay "$first_url/")" = 200 ] ||
  fail "a request with an idempotency key was not served"
[ "$(quote_with_key -d pay "$second_url/")" = 409 ] ||
  fail "the other node did not refuse a used idempotency key"
pass "a request with an idempotency key is sent once across both nodes"

code=$(curl -s -o "$work/error" -w '%{http_code}' -d '{"member":' \
  "$first_url/daisyarch/v1/jobs")
[ "$code" = 400 ] && grep -q '"step":"read job"' "$work/error" ||
  fail "response to malformed JSON: $code $(cat "$work/error")"
code=$(curl -s -o "$work/error" -w '%{http_code}' -d x "$first_url/")
[ "$code" = 400 ] && grep -q 'X-Daisyarch-Class' "$work/error" ||
  fail "response to a missing class header: $code $(cat "$work/error")"
head -c 2000 /dev/urandom >"/dev/tcp/127.0.0.1/$((base + 11))"
head -c 2000 /dev/urandom >"/dev/tcp/127.0.0.1/$((base + 10))"
[ "$(quote -d still "$first_url/")" = still ] ||
  fail "a valid request was not served after bad input"
pass "bad input gets a clear error and affects no other request"

sed 's/listen:/listens:/' "$work/n1.yaml" >"$work/bad.yaml"
status=0
"$build/daisyarchd" --config="$work/bad.yaml" --check-config \
  2>"$work/error" || status=$?
[ "$status" = 2 ] && grep -q 'bad.yaml:2.*listens: unknown key' \
  "$work/error" ||
  fail "status $status for invalid settings: $(cat "$work/error")"
pass "invalid settings are refused with file, line and key"

submit() {
  $1 --json submit member=shop class=settlements key="$2" tasks=30 run_ms=4000
}
# The keys differ, so that the jobs go to partitions of both daemons.
jobs=()
for key in a b c d; do
  wait_until "job $key accepted" submit "$one" "$key"
  jobs+=("$(submit "$one" "$key" | grep -o '"job":"[0-9a-f]*"' | head -1 |
    cut -d'"' -f4)")
done
"$build/daisyarch_load" --rate=100 --seconds=6 \
  --daemon="127.0.0.1:$((base + 20))" >"$work/load" &
load=$!
sleep 1
kill -KILL "$first"
wait "$load"
grep -q "wrong 0" "$work/load" ||
  fail "answers did not match their requests: $(cat "$work/load")"
if grep -qE "(refused|unknown) [1-9]" "$work/load"; then
  fail "requests refused or with unknown outcome: $(cat "$work/load")"
fi
pass "the other daemon serves while one is killed"
finished() { $two --json status "$1" | grep -q '"finished":30'; }
for job in "${jobs[@]}"; do wait_until "job $job finished" finished "$job"; done
summary=$(curl -s "http://127.0.0.1:$((base + 1))/summary")
total=$(grep -o '"finishes":[0-9]*' <<<"$summary" | cut -d: -f2 |
  awk "{ sum += \$1 } END { print sum }")
[ "$total" = 120 ] || fail "expected 120 finished tasks, got $total: $summary"
grep -o '"violation":"[^"]*"' <<<"$summary" | grep -vq '""' &&
  fail "a worker violated an invariant: $summary"
pass "every accepted task finished exactly once although its owner was killed"
echo "$passed passed, 0 failed"
