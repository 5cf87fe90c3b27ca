#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0 leaves out the disruption.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
.venv/bin/python "$case_folder/case.py" --record "$case_folder/record.txt" --trouble "${TROUBLE:-1}"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
