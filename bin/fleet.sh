# Functions that start and stop a fleet on the loopback interface, for bin/demo and bin/experiment.
# Source this file; fleet_stop ends every process that was started, by its process id.
#
# Ports of a fleet with base port P: platform P; proxy N: callers P+10+N, peers P+30+N, operators P+50+N;
# failover agent N: peers P+70+N, operators P+80+N; database N: PostgreSQL P+100+N, control P+200+N.

FLEET_ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
FLEET_SECRET="loopback-demonstration-secret-0123456789"
export POLLENSPAR_JAVA_OPTIONS="${POLLENSPAR_JAVA_OPTIONS:--Xmx192m -XX:+UseSerialGC -XX:TieredStopAtLevel=1}"
START_ATTEMPTS=300
START_PAUSE_SECONDS=0.1

# fleet_start DIR BASE_PORT FAILURE_DOMAINS PROXIES AGENTS DATABASE_OPTIONS GROUP...
fleet_start() {
  local dir=$1 base=$2 domains=$3 proxies=$4 agents=$5 options=$6
  shift 6
  mkdir -p "$dir/log" "$dir/pid"
  fleet_topology "$base" "$domains" "$proxies" "$agents" "$@" > "$dir/topology.toml"
  local group letter number=0
  for group in "$@"; do
    for letter in a b c; do
      # shellcheck disable=SC2086
      fleet_run "$dir" "$group-$letter" pollenspar-standin database --id "$group-$letter" \
        --port $((base + 100 + number)) --control-port $((base + 200 + number)) $options
      number=$((number + 1))
    done
  done
  fleet_await_databases "$base" "$number"
  fleet_run "$dir" platform pollenspar-standin platform --topology "$dir/topology.toml" --port "$base"
  fleet_await "http://127.0.0.1:$base/hosts"
  local n
  for ((n = 1; n <= proxies; n++)); do fleet_start_proxy "$dir" "$base" "$domains" "$n"; done
  for ((n = 1; n <= agents; n++)); do fleet_start_agent "$dir" "$base" "$domains" "$n"; done
}

# fleet_start_proxy DIR BASE_PORT FAILURE_DOMAINS NUMBER
fleet_start_proxy() {
  local dir=$1 base=$2 domains=$3 n=$4
  cat > "$dir/proxy-$n.toml" <<TOML
id = "proxy-$n"
address = "127.0.0.1"
http_port = $((base + 10 + n))
peer_port = $((base + 30 + n))
admin_port = $((base + 50 + n))
domain = "domain-$((n % domains + 1))"
region = "region-1"
platform_url = "http://127.0.0.1:$base"
session_secret = "$FLEET_SECRET"
policy = "${FLEET_POLICY:-standard}"
TOML
  fleet_run "$dir" "proxy-$n" pollenspar-proxy --settings "$dir/proxy-$n.toml"
}

# fleet_start_agent DIR BASE_PORT FAILURE_DOMAINS NUMBER
fleet_start_agent() {
  local dir=$1 base=$2 domains=$3 n=$4
  cat > "$dir/failover-$n.toml" <<TOML
id = "failover-$n"
address = "127.0.0.1"
peer_port = $((base + 70 + n))
admin_port = $((base + 80 + n))
domain = "domain-$((n % domains + 1))"
region = "region-1"
platform_url = "http://127.0.0.1:$base"
TOML
  fleet_run "$dir" "failover-$n" pollenspar-failover --settings "$dir/failover-$n.toml"
}

# fleet_run DIR NAME PROGRAM ARGUMENTS...: starts a program in the background and stores its process id in DIR/pid/NAME.
fleet_run() {
  local dir=$1 name=$2 program=$3
  shift 3
  "$FLEET_ROOT/bin/$program" "$@" > "$dir/log/$name" 2>&1 &
  echo $! > "$dir/pid/$name"
}

# fleet_topology BASE_PORT FAILURE_DOMAINS PROXIES AGENTS GROUP...: prints the platform's topology file.
fleet_topology() {
  local base=$1 domains=$2 proxies=$3 agents=$4 n number=0 group letter
  shift 4
  for ((n = 1; n <= proxies; n++)); do
    fleet_host "proxy-$n" proxy "$((n % domains + 1))"
    printf 'http_port = %d\npeer_port = %d\nadmin_port = %d\n\n' \
      $((base + 10 + n)) $((base + 30 + n)) $((base + 50 + n))
  done
  for ((n = 1; n <= agents; n++)); do
    fleet_host "failover-$n" failover "$((n % domains + 1))"
    printf 'peer_port = %d\nadmin_port = %d\n\n' $((base + 70 + n)) $((base + 80 + n))
  done
  for group in "$@"; do
    for letter in a b c; do
      fleet_host "host-$group-$letter" backend_server "$((number % domains + 1))"
      printf 'databases = [{ id = "%s", group = "%s", port = %d }]\n\n' \
        "$group-$letter" "$group" $((base + 100 + number))
      number=$((number + 1))
    done
  done
  number=0
  for group in "$@"; do
    printf '[[groups]]\nname = "%s"\nprimary = "%s-a"\nterm = 1\nmembers = [\n' "$group" "$group"
    for letter in a b c; do
      printf '  { id = "%s", address = "127.0.0.1", port = %d, control_port = %d },\n' \
        "$group-$letter" $((base + 100 + number)) $((base + 200 + number))
      number=$((number + 1))
    done
    printf ']\n\n'
  done
}

fleet_host() {
  printf '[[hosts]]\nid = "%s"\naddress = "127.0.0.1"\nrole = "%s"\nstate = "live"\n' "$1" "$2"
  printf 'domain = "domain-%s"\nregion = "region-1"\n' "$3"
}

fleet_await_databases() {
  local base=$1 count=$2 n
  for ((n = 0; n < count; n++)); do fleet_await "http://127.0.0.1:$((base + 200 + n))/status"; done
}

# fleet_await URL: waits until the URL answers with success.
fleet_await() {
  local attempt
  for ((attempt = 0; attempt < START_ATTEMPTS; attempt++)); do
    curl -fsS -o /dev/null --max-time 2 "$1" 2> /dev/null && return 0
    sleep $START_PAUSE_SECONDS
  done
  echo "$1 did not answer with success after $START_ATTEMPTS attempts; see the logs of the fleet" >&2
  return 1
}

# fleet_await_proxies BASE_PORT PROXIES: waits until every proxy accepts requests.
fleet_await_proxies() {
  local base=$1 proxies=$2 n
  for ((n = 1; n <= proxies; n++)); do fleet_await "http://127.0.0.1:$((base + 50 + n))/health"; done
}

# fleet_callers BASE_PORT PROXIES: prints the callers' addresses of all proxies, separated by commas.
fleet_callers() {
  local base=$1 proxies=$2 n list=""
  for ((n = 1; n <= proxies; n++)); do list="$list,http://127.0.0.1:$((base + 10 + n))"; done
  echo "${list#,}"
}

# fleet_faults BASE_PORT JSON: injects or ends faults at the platform stand-in.
fleet_faults() {
  curl -fsS -o /dev/null --max-time 5 -H 'Content-Type: application/json' -d "$2" \
    "http://127.0.0.1:$1/admin/faults"
}

# fleet_primary BASE_PORT GROUP: prints the primary of the last promotion.
fleet_primary() {
  curl -fsS --max-time 5 "http://127.0.0.1:$1/groups/$2" | sed 's/.*"primary": *"\([^"]*\)".*/\1/'
}

# fleet_stop DIR: ends every process of the fleet by its id.
fleet_stop() {
  local file
  for file in "$1"/pid/*; do
    [ -f "$file" ] && kill "$(cat "$file")" 2> /dev/null
  done
  wait 2> /dev/null
  rm -f "$1"/pid/*
}
