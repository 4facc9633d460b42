#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1 TROUBLE="${TROUBLE:-1}"
timeout -k 5 110 python3 review/11/case.py
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
