#!/bin/sh
# Runs the proxy as a process: its sub-commands, one line of error for each invalid command line or file, reload
# on SIGHUP and stop on SIGTERM.
proxy=$1
unset NODE_CONFIG
failed=0
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
expect_error() { # name, expected text on standard error, arguments...
  name=$1 expected=$2
  shift 2
  if message=$(timeout 10 "$proxy" "$@" 2>&1 >/dev/null); then echo "FAILED $name: exit code 0"; failed=1; fi
  case "$message" in *"$expected"*) ;; *) echo "FAILED $name: $message"; failed=1 ;; esac
  [ "$(printf '%s\n' "$message" | wc -l)" -eq 1 ] || { echo "FAILED $name: more than one line"; failed=1; }
}
"$proxy" version | grep -q '^linenwinch [0-9]' || { echo "FAILED version"; failed=1; }
"$proxy" --help | grep -q serve || { echo "FAILED help"; failed=1; }
echo '{"listen":"nowhere"}' >"$folder/bad.json"
expect_error 'no command' 'no command'
expect_error 'an unknown command' 'unknown command' sing
expect_error 'an unknown option' 'sing' serve --sing
expect_error 'no configuration' 'NODE_CONFIG' serve
expect_error 'a missing file' 'cannot be read' serve --config "$folder/none.json"
expect_error 'a bad configuration' "listen is no address: 'nowhere'" serve --config "$folder/bad.json"
expect_error 'a bad configuration, only checked' 'bad.json' check --config "$folder/bad.json"
expect_file_error() { # name, expected text, the operator's file
  printf '%s' "$3" >"$folder/operator.json"
  expect_error "$1" "$2" check --operator "$folder/operator.json"
}
expect_file_error 'an unknown key' "'cuont'" '{"workers":{"cuont":4}}'
expect_file_error 'an unknown section' "'works'" '{"works":{}}'
expect_file_error 'an ill-typed key' 'workers.count: Value type' '{"workers":{"count":"4"}}'
expect_file_error 'no workers' 'workers.count: Expected number greater' '{"workers":{"count":0}}'
expect_file_error 'a thousand workers' 'workers.count: Expected number less' '{"workers":{"count":1000}}'
expect_file_error 'half a file' 'line 1' '{"workers":'
expect_file_error 'an unknown kind of decisions' 'workers.decisions' '{"workers":{"decisions":"both"}}'
expect_error 'no operator file' 'cannot be read' check --operator "$folder/none.json"
"$proxy" check --operator "$(dirname "$0")/../../deploy/operator.example.json" >/dev/null || {
  echo "FAILED operator.example.json"
  failed=1
}
# On SIGTERM the proxy ends with exit code 0 and logs that it has stopped.
cat >"$folder/good.json" <<'EOF'
{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","known":{"generation":0,"reset":true,"instances":[]},
 "settings":{"RequestClasses":[{"Name":"a","Effect":"pure","TargetMs":500,"DeadlineMs":2000}]}}
EOF
"$proxy" check --config "$folder/good.json" >/dev/null || { echo "FAILED check"; failed=1; }
NODE_CONFIG="$folder/good.json" "$proxy" serve 2>"$folder/log" &
pid=$!
for _ in $(seq 200); do
  grep -q 'listens on' "$folder/log" && break
  sleep 0.05
done
# On each SIGHUP the proxy reads its configuration again; an invalid file leaves the old one in effect.
expect_in_log() { # expected text, how many lines of the log have to contain it
  for _ in $(seq 200); do
    [ "$(grep -c "$1" "$folder/log")" -eq "$2" ] && return
    sleep 0.05
  done
  echo "FAILED reload: $1 is not there $2 times: $(cat "$folder/log")"
  failed=1
}
sed -i 's/127.0.0.1:1"/127.0.0.1:2"/' "$folder/good.json"
kill -HUP $pid
expect_in_log 'configuration read again: discovery 127.0.0.1:2,' 1
cp "$folder/bad.json" "$folder/kept.json"
mv "$folder/good.json" "$folder/aside.json"
mv "$folder/kept.json" "$folder/good.json"
kill -HUP $pid
expect_in_log 'the configuration in force stays: ' 1
mv "$folder/aside.json" "$folder/good.json"
kill -HUP $pid
expect_in_log 'configuration read again: discovery 127.0.0.1:2,' 2
kill -TERM $pid
kill -HUP $pid
wait $pid || { echo "FAILED stop: exit code $?"; failed=1; }
grep -q 'stopped: taken 0' "$folder/log" || { echo "FAILED stop: $(cat "$folder/log")"; failed=1; }
[ $failed -eq 0 ] && echo "proxy: all cases as expected"
exit $failed
