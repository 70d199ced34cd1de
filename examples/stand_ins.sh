#!/bin/sh
# Starts the emulators of the state service and the cloud and a daemon, each as a process of its own, and runs a job, with
# the command line only: stand_ins.sh BUILD_FOLDER
set -eu
heronshift=$1/heronshift
work=$(mktemp -d)
pids=
trap 'kill $pids 2>/dev/null || true; rm -rf "$work"' EXIT

port_of() { # prints the port from an emulator's output file, once the emulator listens
    for _ in $(seq 200); do
        p=$(sed -n 's/.* on 127\.0\.0\.1:\([0-9]*\)$/\1/p' "$1")
        [ -n "$p" ] && echo "$p" && return
        sleep 0.05
    done
    return 1
}
"$heronshift" stand-in state --listen 127.0.0.1:0 2>"$work/state" & pids="$pids $!"
# Two emulators are started only to find two free ports for the daemon, which are most likely still free a moment later.
"$heronshift" stand-in state --listen 127.0.0.1:0 2>"$work/p1" & p1=$!
"$heronshift" stand-in state --listen 127.0.0.1:0 2>"$work/p2" & p2=$!
user=$(port_of "$work/p1")
peer=$(port_of "$work/p2")
kill $p1 $p2
wait $p1 $p2 || true
"$heronshift" stand-in cloud --listen 127.0.0.1:0 --node "alone=127.0.0.1:$user" 2>"$work/cloud" & pids="$pids $!"
cat >"$work/settings.toml" <<END
host_name = "alone"
zone = "a"
bind = "127.0.0.1:$user"
back = "127.0.0.1:$peer"
[external]
cloud = "127.0.0.1:$(port_of "$work/cloud")"
state = "127.0.0.1:$(port_of "$work/state")"
[facts]
zones = ["a", "b"]
time_bound_ms = 100.0
teams = [{name = "red", cpus = 0.0, cpus_max = 0.0, gpus = 0.0, gpus_max = 0.0}]
workers = {report_s = 1.0, lease_s = 6.0, gang_wait_s = 10.0, gang_peer_s = 2.0, cancel_s = 15.0}
state = {rps = 200.0, write_rps = 100.0, value_kb = 16.0, txn_ops = 24}
cloud = {rps = 10.0, list_lag_s = 1.0}
resources = {cores = 1.0, mem_mb = 256.0, fd_limit = 1000}
END
"$heronshift" check --config "$work/settings.toml" | grep '^host_name = alone'
"$heronshift" serve --log-format json --config "$work/settings.toml" 2>"$work/log" & pids="$pids $!"
cat >"$work/job.json" <<END
{"id": "wk-000001", "jobclass": "batch", "owner": "red", "shape": "array", "rank": "normal", "shards": 2,
 "cpus": 1.0, "memGb": 1.0, "bundle": "img", "imageGb": 0.1}
END
export HERONSHIFT_NODE="127.0.0.1:$user"
"$heronshift" submit "$work/job.json"
"$heronshift" watch wk-000001 | tail -1 | grep '"status":"done"'
grep -q '"level":"info","node":"alone","message":"became leader term=1"' "$work/log"
echo "the daemon ran the job"
