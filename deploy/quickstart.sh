#!/bin/sh
# Serves one request over the testbench's fake servers: data servers and discovery, the daemon, a client. All on loopback.
set -eu
build=${1:-$(dirname "$0")/../build}
folder=$(mktemp -d)
lab= daemon=
trap 'kill $daemon $lab 2>/dev/null || true; wait; rm -rf "$folder"' EXIT
"$build/proxy-testbench" stand-in --listen 127.0.0.1:0 --write-config "$folder/config.json" --seconds 60 \
  >"$folder/lab.log" &
lab=$!
until grep -q '^servers' "$folder/lab.log"; do sleep 0.05; done
"$build/database-proxy" serve --config "$folder/config.json" 2>"$folder/log" &
daemon=$!
until grep -q 'ready to serve' "$folder/log"; do
  kill -0 $daemon 2>/dev/null || { cat "$folder/log"; exit 1; }
  sleep 0.05
done
cat "$folder/log"
"$build/proxy-testbench" ask --target "$(sed -n 's/.* listens on \([^,]*\),.*/\1/p' "$folder/log")"
