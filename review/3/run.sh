#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0 leaves out the disruption.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
.venv/bin/python "$case_folder/case.py" --record "$case_folder/record.txt" --trouble "${TROUBLE:-1}" &
driver=$!
trap 'kill -TERM "$driver" 2>/dev/null' TERM INT HUP
wait "$driver"
code=$?
while kill -0 "$driver" 2>/dev/null; do # a signal ended the wait; the driver ends what it has started
    wait "$driver"
    code=$?
done
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
