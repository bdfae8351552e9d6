#!/bin/sh
# Exits with 1 if a task was started again after a run of it had ended done, 0 if not, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/review-ends ] && [ -x ../../target/release/cowslipchute-scheduler ] || exit 2
timeout -k 5 100 ../../target/release/review-ends record.txt
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
