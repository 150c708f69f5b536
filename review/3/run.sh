#!/bin/bash
# Plays this case. TROUBLE=0 leaves the disruption out. What was sent, answered and run goes to record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}"
exec "$here/../run-case.sh" Pipeline "$here/record.txt"
