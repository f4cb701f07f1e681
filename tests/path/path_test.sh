#!/usr/bin/env bash
# The path through real processes: whole bodies, own answers, a silent
# connection, bad input, refused settings, and a daemon that is killed with
# work running.
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
pass "a target set at one daemon is in force at the other"
$two audit | grep -q "classes.settlements" || fail "audit"
pass "the change stands in the audit trail"

quote() {
  curl -s -H 'X-Daisyarch-Class: quotes' -H 'X-Daisyarch-Member: shop' "$@"
}
first_url="http://127.0.0.1:$((base + 10))"
second_url="http://127.0.0.1:$((base + 20))"

head -c 5000000 /dev/urandom >"$work/body"
quote -H 'Transfer-Encoding: chunked' --data-binary "@$work/body" \
  -o "$work/answer" "$first_url/"
cmp "$work/body" "$work/answer" || fail "a chunked body of 5 MB"
pass "a chunked body of 5 MB comes back whole"

"$build/daisyarch_load" --rate=300 --seconds=2 --body_bytes=2000 \
  --daemon="127.0.0.1:$((base + 10)),127.0.0.1:$((base + 20))" \
  >"$work/load"
grep -q "wrong 0" "$work/load" || fail "answers crossed: $(cat "$work/load")"
pass "each answer is its request's own"

curl -s "http://127.0.0.1:$((base + 2))/standin/silent/1"
for number in 1 2 3 4; do
  answer=$(quote -H 'X-Daisyarch-Deadline-Ms: 4000' -d "q$number" "$first_url/")
  [ "$answer" = "q$number" ] || fail "a silent connection: $answer"
done
pass "a request on a connection that went silent is answered by another"

once() { quote -o /dev/null -w '%{http_code}' -H 'X-Daisyarch-Once: k1' "$@"; }
[ "$(once -d pay "$first_url/")" = 200 ] || fail "a request under a key"
[ "$(once -d pay "$second_url/")" = 409 ] || fail "the key at the other node"
pass "a request that is not to be repeated is sent once, over both nodes"

code=$(curl -s -o "$work/error" -w '%{http_code}' -d '{"member":' \
  "$first_url/daisyarch/v1/jobs")
[ "$code" = 400 ] && grep -q '"step":"read job"' "$work/error" ||
  fail "malformed JSON: $code $(cat "$work/error")"
code=$(curl -s -o "$work/error" -w '%{http_code}' -d x "$first_url/")
[ "$code" = 400 ] && grep -q 'X-Daisyarch-Class' "$work/error" ||
  fail "a missing header"
head -c 2000 /dev/urandom >"/dev/tcp/127.0.0.1/$((base + 11))"
head -c 2000 /dev/urandom >"/dev/tcp/127.0.0.1/$((base + 10))"
[ "$(quote -d still "$first_url/")" = still ] || fail "after bad input"
pass "bad input gets a clear error and harms nothing else"

sed 's/listen:/listens:/' "$work/n1.yaml" >"$work/bad.yaml"
status=0
"$build/daisyarchd" --config="$work/bad.yaml" --check-config \
  2>"$work/error" || status=$?
[ "$status" = 2 ] && grep -q 'bad.yaml:2.*listens: unknown key' \
  "$work/error" || fail "refused settings: $(cat "$work/error")"
pass "settings with a fault are refused with file, line and key"

submit() {
  $1 --json submit member=shop class=settlements key="$2" tasks=30 run_ms=4000
}
# Keys differ, so that jobs land in partitions of both daemons.
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
grep -q "wrong 0" "$work/load" || fail "load: $(cat "$work/load")"
if grep -qE "(refused|unknown) [1-9]" "$work/load"; then
  fail "the other daemon serves on: $(cat "$work/load")"
fi
pass "a daemon is killed and the other serves on"
finished() { $two --json status "$1" | grep -q '"finished":30'; }
for job in "${jobs[@]}"; do wait_until "job $job finished" finished "$job"; done
summary=$(curl -s "http://127.0.0.1:$((base + 1))/summary")
total=$(grep -o '"finishes":[0-9]*' <<<"$summary" | cut -d: -f2 |
  awk "{ sum += \$1 } END { print sum }")
[ "$total" = 120 ] || fail "120 tasks ran $total times: $summary"
grep -o '"violation":"[^"]*"' <<<"$summary" | grep -vq '""' &&
  fail "a worker was over-committed: $summary"
pass "every accepted task ended exactly once, the owner killed meanwhile"
echo "$passed passed, 0 failed"
