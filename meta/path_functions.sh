# Shell functions that start the stand-ins and two daemons on loopback; for
# meta/demo and tests/path. Expects $build and $base, the first port.

work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

settings() {
  cat <<YAML
node: {id: $1, failure_domain: $2}
listen: {http: "127.0.0.1:$3", mesh: "127.0.0.1:$4"}
platform: {address: "127.0.0.1:$base"}
workers: {failure_domains: [north, south]}
timing: {node_lease_ms: 3000, worker_lease_ms: 6000, worker_poll_ms: 200}
YAML
}

worker() {
  printf '{"worker":"%s","address":"127.0.0.1:%s","failure_domain":"%s",' \
    "$1" "$2" "$3"
  printf '"rack":"r1","is_leaving":false,"capacity":{"millicores":60000,'
  printf '"mebibytes":256000,"accelerators":0}}'
}

endpoint() {
  printf '{"endpoint":"%s","address":"127.0.0.1:%s","failure_domain":"%s",' \
    "$1" "$2" "$3"
  printf '"slots":8,"is_leaving":false}'
}

wait_until() {
  local what=$1
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "demo: $what did not happen within 30 s" >&2
  tail -n 20 "$work"/*.log >&2
  exit 1
}

start_everything() {
  cat >"$work/hosts.json" <<JSON
{"workers": [$(worker w1 $((base + 1)) north),
             $(worker w2 $((base + 1)) north),
             $(worker w3 $((base + 1)) south)],
   "endpoints": [$(endpoint e1 $((base + 2)) north),
                 $(endpoint e2 $((base + 3)) south)]}
JSON
  settings n1 north $((base + 10)) $((base + 11)) >"$work/n1.yaml"
  settings n2 south $((base + 20)) $((base + 21)) >"$work/n2.yaml"

  start platform "$build/platform_standin" --listen="127.0.0.1:$base" \
    --hosts="$work/hosts.json"
  start workers "$build/worker_standin" --listen="127.0.0.1:$((base + 1))"
  start e1 "$build/endpoint_standin" --listen="127.0.0.1:$((base + 2))"
  start e2 "$build/endpoint_standin" --listen="127.0.0.1:$((base + 3))"
  start n1 "$build/daisyarchd" --config="$work/n1.yaml"
  first=${pids[-1]}
  start n2 "$build/daisyarchd" --config="$work/n2.yaml"
  one="$build/daisyarch --daemon=127.0.0.1:$((base + 10)) --operator_name=demo"
  two="$build/daisyarch --daemon=127.0.0.1:$((base + 20)) --operator_name=demo"
}

has_class() { $1 classes | grep -q "$2"; }
ready() { curl -sf "http://127.0.0.1:$1/readyz"; }
both_listed() { [ "$($1 --json nodes | grep -o '"alive"' | wc -l)" = 1 ]; }
wait_for_both() {
  wait_until "node n1 ready" ready $((base + 10))
  wait_until "node n2 ready" ready $((base + 20))
  wait_until "n1 hears n2" both_listed "$one"
  wait_until "n2 hears n1" both_listed "$two"
}
