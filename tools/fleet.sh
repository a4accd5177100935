# Read by ./quickstart and tools/measure: starts and stops stand-ins and seven hosts on loopback addresses.
# The reader sets top, the folder of the checkout. FLEET_NAME, TRACE_RATIO, ENGINE_OPTIONS, PLAIN_OPTIONS and
# SCHEDULER_OPTIONS and DOCUMENT (a folder of samples) change what is started.
# shellcheck shell=bash
dist="$top/target/modules/org.whinwharf.dist/whinwharf"
run="$top/target/modules/org.whinwharf.dist/${FLEET_NAME:-quickstart}"
platform=127.0.9.1:8500
weights=127.0.9.2:8600
trace_ratio=${TRACE_RATIO:-1.0}
engine_options=${ENGINE_OPTIONS:---slots 8 --token-millis 5 --prefill-tokens-per-second 20000 --cold-requests 2}
plain_options=${PLAIN_OPTIONS:---slots 8 --millis 20}
scheduler_options=${SCHEDULER_OPTIONS:-}
data_centres=(zilina-a zilina-b martin-a martin-b)

# Stops the processes of file $1 and waits for them, at most 20 s.
stop_group() {
  [ -f "$run/$1" ] || return 0
  local waited=0 pid
  while read -r pid; do kill -TERM "$pid" 2>/dev/null || true; done < "$run/$1"
  while read -r pid; do
    while kill -0 "$pid" 2>/dev/null && [ "$waited" -lt 200 ]; do
      sleep 0.1
      waited=$((waited + 1))
    done
    kill -KILL "$pid" 2>/dev/null || true
  done < "$run/$1"
  rm -f "$run/$1"
}

# Stand-ins go last, so that requests in flight can end.
stop_all() {
  stop_group daemons.pids
  stop_group standins.pids
}

# Starts a process of group $1 under name $2.
launch() {
  local group=$1 name=$2
  shift 2
  "$@" > "$run/logs/$name.log" 2>&1 &
  echo $! >> "$run/$group.pids"
}

await() {
  local url=$1 waited=0
  until curl -fs -o /dev/null "$url"; do
    sleep 0.1
    waited=$((waited + 1))
    if [ "$waited" -gt 600 ]; then
      echo "no answer from $url within 60 s; logs are in $run/logs" >&2
      exit 1
    fi
  done
}

write_hosts() {
  local entries="" targets="" n address
  for n in 1 2 3 4 5 6 7; do
    entries+="{\"name\":\"entry-$n\",\"address\":\"127.0.10.$n\",\"dataCentre\":\"${data_centres[$(((n - 1) % 4))]}\",\"state\":\"LIVE\","
    entries+="\"entry\":{\"caller\":8080,\"entryPeer\":7001,\"schedulerPeer\":7002,\"stewardPeer\":7003,"
    entries+="\"entryAdmin\":9001,\"schedulerAdmin\":9002,\"stewardAdmin\":9003}},"
  done
  for n in $(seq 0 12); do
    address=127.0.20.$((n % 4 + 1))
    targets+="{\"name\":\"lampa-$n\",\"address\":\"$address\",\"dataCentre\":\"${data_centres[$((n % 4))]}\",\"state\":\"LIVE\","
    targets+="\"target\":{\"service\":\"lampa-llm\",\"port\":$((8100 + n / 4)),\"hardware\":\"h$((n % 2 + 1))\"}},"
  done
  for n in 0 1 2 3; do
    targets+="{\"name\":\"zber-$n\",\"address\":\"127.0.21.$((n + 1))\",\"dataCentre\":\"${data_centres[$n]}\",\"state\":\"LIVE\","
    targets+="\"target\":{\"service\":\"zber-app\",\"port\":8200}},"
  done
  echo "{\"revision\":1,\"hosts\":[$entries${targets%,}]}" > "$run/hosts.json"
}

# Prints the settings of host number $1, without the braces and ports of one program.
node_settings() {
  local n=$1 admin=$2 peer=$3
  cat <<JSON
  "node": {
    "host": "entry-$n",
    "dataCentre": "${data_centres[$(((n - 1) % 4))]}",
    "address": "127.0.10.$n",
    "environment": "trial",
    "configurationUrl": "http://$platform",
    "hostListUrl": "http://$platform",
    "adminPort": $admin,
    "peerPort": $peer,
    "traces": {"exporter": "log", "ratio": $trace_ratio}
  }
JSON
}

write_settings() {
  local n
  for n in 1 2 3 4 5 6 7; do
    { echo "{"; node_settings "$n" 9001 7001; echo ', "callerPort": 8080 }'; } > "$run/settings/entry-$n.json"
    { echo "{"; node_settings "$n" 9002 7002; echo "$scheduler_options }"; } > "$run/settings/scheduler-$n.json"
    { echo "{"; node_settings "$n" 9003 7003; echo ", \"weightStoreUrl\": \"http://$weights\" }"; } > "$run/settings/steward-$n.json"
  done
  printf 'quickstart-trial-only-driver' > "$run/credential"
  cat > "$run/settings/operator.json" <<JSON
{
  "entries": ["http://127.0.10.1:8080", "http://127.0.10.2:8080"],
  "configurationUrl": "http://$platform",
  "hostListUrl": "http://$platform",
  "environment": "trial",
  "credentialFile": "$run/credential"
}
JSON
}

start_standins() {
  local n count
  launch standins platform "$dist/bin/whinwharf-standin" platform --address 127.0.9.1 --port 8500 --hosts "$run/hosts.json" --documents "$run/documents"
  launch standins weights "$dist/bin/whinwharf-standin" weights --address 127.0.9.2 --port 8600 --loads-per-second 20
  for n in 0 1 2 3; do
    count=3
    [ "$n" = 0 ] && count=4
    launch standins "engines-$n" "$dist/bin/whinwharf-standin" engine --address "127.0.20.$((n + 1))" --port 8100 --count "$count" \
      $engine_options --models odpad:v1
    launch standins "plain-$n" "$dist/bin/whinwharf-standin" plain --address "127.0.21.$((n + 1))" --port 8200 $plain_options
  done
  await "http://$platform/v1/hosts?after=0"
}

start_fleet() {
  local n role
  for n in 1 2 3 4 5 6 7; do
    for role in scheduler entry steward; do
      launch daemons "$role-$n" "$dist/bin/whinwharf-$role" --settings "$run/settings/$role-$n.json"
    done
  done
  for n in 1 2 3 4 5 6 7; do
    await "http://127.0.10.$n:9001/ready"
    await "http://127.0.10.$n:9002/ready"
  done
}

prepare() {
  [ -x "$dist/bin/whinwharf-entry" ] || mvn -q -B -ntp -f "$top/pom.xml" package -Dmaven.test.skip=true
  stop_all
  rm -rf "$run"
  mkdir -p "$run/logs" "$run/settings" "$run/documents"
  cp "$top/samples/${DOCUMENT:-quickstart}/document.json" "$run/documents/trial.json"
  write_hosts
  write_settings
}
