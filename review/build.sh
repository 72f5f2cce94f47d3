#!/bin/bash
# Builds the programs of the cases, with all their stand-ins, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for main in review/[1-9]/main.go; do
	case=$(basename "$(dirname "$main")")
	go build -o "review/bin/$case" "./review/$case"
done
