#!/bin/sh
# Checks that the program depends on no particular deployment: it serves with settings whose names occur nowhere
# else, and no name of a deployment occurs in its sources (except the testbench) or in the deploy file.
proxy=$1
root=$(cd "$(dirname "$0")/../.." && pwd)
failed=0
names='regina|regina-main|muscat|muscat-head-office|prairie|north-bldg|south-bldg|annex|ruwi|ghala|browse|own-view'
names="$names|book|booking|booking-db|std-4core|catalogue-read|current-read|order-write|chart-db|fast-3|std-3"
names="$names|three-halls|lone-quay"
[ -d "$root/src" ] && [ -d "$root/include" ] || { echo "FAILED: no sources at $root"; failed=1; }
if found=$(cd "$root" && grep -rnwiE "$names" src include deploy/balancer.toml | grep -v '^src/testbench/'); then
  echo "FAILED: names of a deployment: $found"
  failed=1
fi

folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cat >"$folder/config.json" <<'END'
{"name":"q7","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"5a","limits":{"sockets":64,"memory_mb":32},
 "known":{"generation":3,"reset":true,"instances":[
   {"instanceId":"zz-1","hostPort":"127.0.0.1:1","zone":"plume","machineType":"vat","cell":91,"lifecycle":"up"}]},
 "settings":{"RequestClasses":[
   {"Name":"skim","Effect":"pure","TargetMs":90.5,"DeadlineMs":310},
   {"Name":"brand","Effect":"side_effect","TargetMs":1700,"DeadlineMs":9000,"Importance":2.5},
   {"Name":"clasp","Effect":"token","Group":"zone","KeyTtlMs":120,"TargetMs":40,"DeadlineMs":70}],
  "FamilyInfo":{"ReadLevel":["recent","update","update"],"OldestDataMs":[75,0,0],"Behind":"hold","PatienceMs":20},
  "Orgs":[{"Name":"ferry","AllowancePerS":3,"Fraction":0.2}],"Zone":"plume","NInstances":7,"RegistryMode":"ask",
  "Limits":{"MaxAttempts":2,"ConnectTimeoutMs":80,"KeepaliveMs":900},
  "Guarantees":{"DrainGraceMs":300,"FallMs":700,"WarmUpMs":2500,"ColdShare":0.4,"TipMultiple":1.5}}}
END
"$proxy" serve --config "$folder/config.json" 2>"$folder/log" &
pid=$!
for _ in $(seq 200); do
  grep -q 'ready to serve' "$folder/log" && break
  sleep 0.05
done
grep -q 'ready to serve' "$folder/log" || { echo "FAILED: not ready: $(cat "$folder/log")"; failed=1; }
kill -TERM "$pid"
wait "$pid" || { echo "FAILED: it ended with $?: $(cat "$folder/log")"; failed=1; }
exit $failed
