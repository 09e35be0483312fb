#!/usr/bin/env bash
# Checks the protocol models exhaustively, and that each broken variant fails.
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# check MODEL EXPECTED [FLAG]: EXPECTED is "holds" or "fails".
check() {
  local model=$1 expected=$2 flag=${3:-}
  (
    cd "$work"
    spin -a ${flag:+"$flag"} "$OLDPWD/$model.pml" >/dev/null
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -o pan pan.c
    ./pan -m1000000 -w24 >out 2>&1 || true
  )
  local errors states depth complete
  errors=$(grep -oE 'errors: [0-9]+' "$work/out" | grep -oE '[0-9]+')
  states=$(grep -E 'states, stored' "$work/out" | awk '{print $1}')
  depth=$(grep -oE 'depth reached [0-9]+' "$work/out" | grep -oE '[0-9]+')
  complete=yes
  grep -qE 'max search depth too small|out of memory|Search not completed' "$work/out" && complete=no
  echo "$model ${flag:-as designed}: errors=$errors states=$states depth=$depth complete=$complete expected=$expected"
  if [ "$expected" = holds ]; then
    [ "$errors" = 0 ] && [ "$complete" = yes ]
  else
    [ "$errors" != 0 ]
  fi
}

check keys holds
check keys fails -DBROKEN_YOUNG
check keys fails -DBROKEN_MOVE
check keys fails -DBROKEN_BEHIND
check attempts holds
check attempts fails -DBROKEN_QUERY
check attempts fails -DBROKEN_INCARNATION
check attempts fails -DBROKEN_UNSURE
echo "models verified"
