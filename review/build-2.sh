#!/bin/sh
# Builds the programs of the second review's cases: clients, servers, discovery and platform of each are in one. The routers come
# from the build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/6 review/7 review/8 review/9 review/10; do
	[ -f "$folder/main.go" ] || continue
	CGO_ENABLED=0 go build -o "review/bin/case-${folder#review/}" "./$folder"
done
