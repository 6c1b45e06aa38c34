#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library alone, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../.bin/standin .
