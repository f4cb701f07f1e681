# Shell functions that start the stand-ins and daemons on loopback, for meta/demo,
# meta/measure and tests/path. The caller sets $build, the build folder, and
# $base, the first port.

work=$(mktemp -d)
pids=()

# Stops all started processes and removes the work folder.
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

# Starts a command in the background: start_process NAME COMMAND...
start_process() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

# Prints the settings of a daemon: ID FAILURE_DOMAIN HTTP_PORT MESH_PORT.
print_settings() {
  cat <<YAML
node: {id: $1, failure_domain: $2}
listen: {http: "127.0.0.1:$3", mesh: "127.0.0.1:$4"}
platform: {address: "127.0.0.1:$base"}
workers: {failure_domains: [north, south]}
timing: {node_lease_ms: 3000, worker_lease_ms: 6000, worker_poll_ms: 200}
YAML
}

# Prints a worker of the host list: ID PORT FAILURE_DOMAIN.
print_worker() {
  printf '{"worker":"%s","address":"127.0.0.1:%s","failure_domain":"%s",' \
    "$1" "$2" "$3"
  printf '"rack":"r1","is_leaving":false,"capacity":{"millicores":60000,'
  printf '"mebibytes":256000,"accelerators":0}}'
}

# Prints an endpoint of the host list: ID PORT FAILURE_DOMAIN.
print_endpoint() {
  printf '{"endpoint":"%s","address":"127.0.0.1:%s","failure_domain":"%s",' \
    "$1" "$2" "$3"
  printf '"slots":8,"is_leaving":false}'
}

# Repeats a command until it succeeds, for at most 30 s: DESCRIPTION COMMAND...
wait_until() {
  local what=$1
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "timed out after 30 s: $what" >&2
  tail -n 20 "$work"/*.log >&2
  exit 1
}

# Starts the platform, three workers, two endpoints and two daemons. Sets $first,
# the process id of n1, and $one and $two, the commands that call n1 and n2.
start_everything() {
  cat >"$work/hosts.json" <<JSON
{"workers": [$(print_worker w1 $((base + 1)) north),
             $(print_worker w2 $((base + 1)) north),
             $(print_worker w3 $((base + 1)) south)],
   "endpoints": [$(print_endpoint e1 $((base + 2)) north),
                 $(print_endpoint e2 $((base + 3)) south)]}
JSON
  print_settings n1 north $((base + 10)) $((base + 11)) >"$work/n1.yaml"
  print_settings n2 south $((base + 20)) $((base + 21)) >"$work/n2.yaml"

  start_process platform "$build/platform_standin" --listen="127.0.0.1:$base" \
    --hosts="$work/hosts.json"
  start_process workers "$build/worker_standin" --listen="127.0.0.1:$((base + 1))"
  start_process e1 "$build/endpoint_standin" --listen="127.0.0.1:$((base + 2))"
  start_process e2 "$build/endpoint_standin" --listen="127.0.0.1:$((base + 3))"
  start_process n1 "$build/daisyarchd" --config="$work/n1.yaml"
  first=${pids[-1]}
  start_process n2 "$build/daisyarchd" --config="$work/n2.yaml"
  one="$build/daisyarch --daemon=127.0.0.1:$((base + 10)) --operator_name=demo"
  two="$build/daisyarch --daemon=127.0.0.1:$((base + 20)) --operator_name=demo"
}

has_class() { $1 classes | grep -q "$2"; }
is_ready() { curl -sf "http://127.0.0.1:$1/readyz"; }
# Succeeds when the daemon that command $1 calls lists exactly one peer as alive.
sees_peer_alive() { [ "$($1 --json nodes | grep -o '"alive"' | wc -l)" = 1 ]; }
wait_for_both() {
  wait_until "node n1 ready" is_ready $((base + 10))
  wait_until "node n2 ready" is_ready $((base + 20))
  wait_until "n1 sees n2 alive" sees_peer_alive "$one"
  wait_until "n2 sees n1 alive" sees_peer_alive "$two"
}
